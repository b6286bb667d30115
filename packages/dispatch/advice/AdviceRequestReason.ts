/**
 * Why an advice request is sent.
 * - `first`: no ticket or refusal is known for the step.
 * - `more`: the endpoints allowed by earlier responses do not suffice.
 * - `again`: all its candidates were allowed before, but their tickets have expired.
 * - `early`: it is sent before the step is ready.
 */
export type AdviceRequestReason = 'first' | 'more' | 'again' | 'early';
