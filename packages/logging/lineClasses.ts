import type { LineClass } from './LineClass';

/** Classes of info lines by message. Any other info line is `story` if it names a job, and `vital` if it names none. */
export const lineClasses: Readonly<Record<string, Extract<LineClass, 'vital' | 'notable'>>> = {
  'Call refused for its key.': 'vital',
  'Charges of a crash are taken back.': 'vital',
  'Crash is charged.': 'vital',
  'Job ended late.': 'vital',
  'Job not taken: it could never run.': 'vital',
  'Job not taken: its id belongs to another.': 'vital',
  'Job not taken: the log is out.': 'vital',
  'Task is given up: endpoints ended under it.': 'vital',
  'The log did not answer: the job may be accepted.': 'vital',
  'Run gives way.': 'notable',
  'Run is moved.': 'notable',
  'Run may have reached the next life.': 'notable',
  'Start not confirmed.': 'notable',
  'Step waits.': 'notable',
  'Stopping a run that is not wanted.': 'notable',
};
