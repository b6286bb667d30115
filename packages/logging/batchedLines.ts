/**
 * Messages of lines that are batched, with the fields of their rows. Lines that agree in all other fields share a batch.
 */
export const batchedLines: Readonly<Record<string, readonly string[]>> = {
  'Run preempted.': ['job', 'task', 'run', 'endpoint', 'percent', 'priority'],
  'Run moved.': ['job', 'task', 'run', 'endpoint', 'percent'],
  'Step waits.': ['job', 'step', 'waits'],
  'Start not confirmed.': ['job', 'task', 'run', 'endpoint'],
};
