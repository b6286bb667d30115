/**
 * Why a question is asked.
 * - `first`: nothing was asked for the step before.
 * - `more`: what the step may use by earlier answers is not enough.
 * - `again`: the step may use the endpoints, but its tickets have run out.
 * - `early`: the step is not ready yet.
 */
export type AdviceRequestReason = 'first' | 'more' | 'again' | 'early';
