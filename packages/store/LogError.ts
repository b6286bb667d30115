/**
 * Why a call to the log failed.
 * - `refused`: nothing was done.
 * - `unknown`: it may have been done, or may be done later.
 * - `fenced`: a newer writer holds the partition.
 * - `forgotten`: the records asked for are gone; read the newest of each key instead.
 */
export type LogError =
  | { readonly kind: 'refused'; readonly detail: string }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'fenced'; readonly detail: string }
  | { readonly kind: 'forgotten'; readonly firstOffset: number };
