/**
 * Policy that decides which halls are preferred for the tasks of a job.
 * - `spread`: none.
 * - `together`: one home hall for each job, so that the loss of a hall affects few jobs.
 */
export type HallPolicyName = 'spread' | 'together';
