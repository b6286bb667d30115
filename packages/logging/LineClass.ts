/**
 * Priority of a log line when not all can be written.
 * - `error`: always written.
 * - `vital`: concerns many jobs, or explains the failure of one.
 * - `notable`: a run was stopped, moved or lost.
 * - `story`: an event of a sampled job.
 * - `rest`: an event of a job that is not sampled.
 */
export type LineClass = 'error' | 'vital' | 'notable' | 'story' | 'rest';
