/**
 * Over which halls the tasks of a job go.
 * - `spread`: over all, as room is found.
 * - `together`: into one hall first, another for each job, so that a hall that is cut off strikes one job in so many halls.
 */
export type HallPolicyName = 'spread' | 'together';
