/**
 * Result of the submission of a job.
 * - `accepted`: the job is stored and will run; also if an earlier submission was accepted.
 * - `taken`: the id belongs to a job of another customer or queue; nothing was changed.
 * - `impossible`: the job could never run and was rejected.
 */
export type SubmitResult =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'taken' }
  | { readonly kind: 'impossible'; readonly reason: string };
