/**
 * Policy for the halls of a job's tasks.
 * - `spread`: no preference.
 * - `together`: prefers the job's home hall, so that the loss of a hall affects only the jobs at home there.
 */
export type HallPolicyName = 'spread' | 'together';
