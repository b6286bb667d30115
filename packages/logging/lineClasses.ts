import type { LineClass } from './LineClass';

/** Classes of info lines by message. Any other info line is `story` if it names a job, and `vital` if it names none. */
export const lineClasses: Readonly<Record<string, Extract<LineClass, 'vital' | 'notable'>>> = {
  'Request rejected for its key.': 'vital',
  'Crash records removed.': 'vital',
  'Crash recorded.': 'vital',
  'Unconfirmed crash recorded.': 'vital',
  'Job ended late.': 'vital',
  'Job refused: it could never run.': 'vital',
  'Job refused: its id belongs to another job.': 'vital',
  'Job refused: the log is unavailable.': 'vital',
  'Task failed: endpoints crashed under it.': 'vital',
  'The log did not respond: the job may be accepted.': 'vital',
  'Run preempted.': 'notable',
  'Run moved.': 'notable',
  'Run may have reached the next incarnation.': 'notable',
  'Start not confirmed.': 'notable',
  'Step waits.': 'notable',
  'Stopping an orphan run.': 'notable',
};
