/**
 * Reason for which a call to the log failed.
 * - `refused`: the call has had no effect.
 * - `rejected`: the call has had no effect, and never will have: the log takes no such records.
 * - `unknown`: the call may have had its effect, or may still have it.
 * - `fenced`: a newer writer holds the partition.
 * - `forgotten`: the requested records are no longer retained; read the newest record of each key instead.
 */
export type LogError =
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'rejected'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'fenced'; readonly detail: string }
  | { readonly kind: 'forgotten'; readonly firstOffset: number };
