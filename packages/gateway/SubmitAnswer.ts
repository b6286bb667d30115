/**
 * What becomes of a job that was handed in.
 * - `accepted`: it is kept and runs, by this call or an earlier one.
 * - `taken`: the id belongs to a job of another customer or queue; nothing was done.
 * - `impossible`: it could never run, and was not taken.
 */
export type SubmitAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'taken' }
  | { readonly kind: 'impossible'; readonly reason: string };
