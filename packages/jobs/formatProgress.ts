import type { CrashBlame } from './CrashBlame';
import type { JobDefinition } from './JobDefinition';
import type { JobProgress } from './JobProgress';
import type { TaskCrash } from './TaskCrash';
import type { TaskProgress } from './TaskProgress';

type CrashRow = readonly [endpoint: string, blame: CrashBlame, ageMs: number];
type TaskCrashRows = readonly [time: number, step: number, index: number, rows: readonly CrashRow[]];
type Touched = readonly [time: number, step: number, index: number, task: TaskProgress];

const toCrashRow = ({ endpoint, blame, ageMs }: TaskCrash): CrashRow => [endpoint, blame, ageMs];

/** Tasks of which a run was placed. */
const readTouched = (definition: JobDefinition, progress: JobProgress): readonly Touched[] => {
  const touched: Touched[] = [];
  for (let time = 0; time < definition.times; time += 1) {
    for (const [step] of definition.steps.entries()) {
      for (const [index, task] of progress.listTasks(time, step).entries()) {
        if (task.run > 0) {
          touched.push([time, step, index, task]);
        }
      }
    }
  }
  return touched;
};

const toCrashRows = (touched: readonly Touched[], field: 'crashes' | 'doubts'): readonly TaskCrashRows[] =>
  touched
    .filter(([, , , task]) => task[field].length > 0)
    .map(([time, step, index, task]) => [time, step, index, task[field].map(toCrashRow)]);

/** Formats the progress of a job as the JSON text of its log record. `parseProgress` reads it back. */
export const formatProgress = (definition: JobDefinition, progress: JobProgress): string => {
  const touched = readTouched(definition, progress);
  const rows = touched.map(([time, step, index, task]) => {
    const { phase, run, failures, endpoint, checkpoint } = task;
    return [time, step, index, phase[0]!, run, failures, endpoint, checkpoint];
  });
  const crashes = toCrashRows(touched, 'crashes');
  const doubts = toCrashRows(touched, 'doubts');
  const ending = progress.isEnded() ? progress.getState() : undefined;
  return JSON.stringify({
    ending,
    endedAtMs: progress.getEndedAtMs(),
    tasks: rows,
    ...(crashes.length === 0 ? {} : { crashes }),
    ...(doubts.length === 0 ? {} : { doubts }),
  });
};
