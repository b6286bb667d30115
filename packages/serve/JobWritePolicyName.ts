/**
 * Which box appends the records of the jobs and cancels that a box accepts.
 * - `own`: the accepting box.
 * - `leader`: the leader's box, which batches the records of all boxes; the accepting box if that fails.
 */
export type JobWritePolicyName = 'own' | 'leader';
