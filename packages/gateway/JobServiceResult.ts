/**
 * Result of an operation of the job service.
 * - `answered`: the operation completed with this result.
 * - `unavailable`: nothing was changed; the caller may retry after `retryAfterMs`, or sooner on another box.
 * - `overloaded`: nothing was changed; the caller may retry after `retryAfterMs`, on any box.
 * - `unknown`: the operation may have been performed.
 */
export type JobServiceResult<Value> =
  | { readonly kind: 'answered'; readonly answer: Value }
  | { readonly kind: 'unavailable'; readonly retryAfterMs: number }
  | { readonly kind: 'overloaded'; readonly retryAfterMs: number }
  | { readonly kind: 'unknown' };
