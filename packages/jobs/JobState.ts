/** State of a job as callers see it. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';
