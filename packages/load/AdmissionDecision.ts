/**
 * Whether a job comes in, and why.
 * - `unknown`: the load is not known; it is taken.
 * - `room`: there is room for all that it starts with; it is taken.
 * - `bearable`: it is expected to wait, and to be of use all the same; it is taken.
 * - `hopeless`: it could not be of use any more; it is refused.
 */
export type AdmissionDecision =
  | { readonly kind: 'unknown' | 'room' }
  | { readonly kind: 'bearable'; readonly expectedWaitMs: number }
  | { readonly kind: 'hopeless'; readonly expectedWaitMs: number; readonly retryAfterMs: number };
