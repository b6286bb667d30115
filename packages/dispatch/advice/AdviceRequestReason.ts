/**
 * Why an advice request is sent.
 * - `first`: no ticket or refusal is known for the step, and the step is ready.
 * - `more`: a response is known, and at least one candidate has not been allowed before.
 * - `again`: all candidates of the request were allowed before, and their tickets have expired or expire too soon.
 * - `early`: the step is not ready yet.
 */
export type AdviceRequestReason = 'first' | 'more' | 'again' | 'early';
