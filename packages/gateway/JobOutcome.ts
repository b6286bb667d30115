/**
 * `unavailable`: nothing was done, come back after `retryAfterMs`. `overloaded`: the same, and no other box would do it sooner. `unknown`: it may have
 * been done.
 */
export type JobOutcome<Answer> =
  | { readonly kind: 'answered'; readonly answer: Answer }
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number }
  | { readonly kind: 'overloaded'; readonly retryAfterMs: number }
  | { readonly kind: 'unknown' };
