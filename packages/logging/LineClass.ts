/**
 * How much a line of the log matters when there is no room for all.
 * - `error`: written whatever the room.
 * - `vital`: explains many jobs, or is the one line that explains a job that was not served well.
 * - `notable`: a single run that was stopped, moved or lost.
 * - `story`: a step in the life of a job; kept for all lines of a chosen job, or for none.
 * - `rest`: a step in the life of a job that is not chosen.
 */
export type LineClass = 'error' | 'vital' | 'notable' | 'story' | 'rest';
