/**
 * Lines that come by the dozen at one moment, with the fields in which they differ. Those of one moment that agree in all other fields are written as one,
 * with a row for each.
 */
export const gatheredLines: Readonly<Record<string, readonly string[]>> = {
  'Run gives way.': ['job', 'task', 'run', 'endpoint', 'percent', 'priority'],
  'Run is moved.': ['job', 'task', 'run', 'endpoint', 'percent'],
  'Step waits.': ['job', 'step', 'waits'],
  'Start not confirmed.': ['job', 'task', 'run', 'endpoint'],
};
