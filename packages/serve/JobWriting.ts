/**
 * Who appends the records of jobs and cancels that a box takes in.
 * - `own`: the box itself.
 * - `leader`: the leader's box, along with those of all others; the box itself where that does not do.
 */
export type JobWriting = 'own' | 'leader';
