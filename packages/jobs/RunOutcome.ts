/** How a run ended, for the progress of its job. Only `failed` counts as an attempt. */
export type RunOutcome = 'done' | 'failed' | 'interrupted';
