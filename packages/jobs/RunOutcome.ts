/** How a run ended, as far as a job's progress is concerned. Only `failed` counts as an attempt. */
export type RunOutcome = 'done' | 'failed' | 'interrupted';
