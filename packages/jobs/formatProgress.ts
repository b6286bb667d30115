import type { CrashBlame } from './CrashBlame';
import type { JobDefinition } from './JobDefinition';
import type { JobProgress } from './JobProgress';
import type { TaskCrash } from './TaskCrash';
import type { TaskProgress } from './TaskProgress';

type CrashRow = readonly [endpoint: string, blame: CrashBlame, ageMs: number];
type TaskCrashRows = readonly [time: number, step: number, index: number, rows: readonly CrashRow[]];
type FailedGangRun = readonly [time: number, step: number, run: number];
type StartedTask = readonly [time: number, step: number, index: number, task: TaskProgress];

const toCrashRow = ({ endpoint, blame, ageMs }: TaskCrash): CrashRow => [endpoint, blame, ageMs];

/** Lists the tasks that have had a run. */
const listStartedTasks = (definition: JobDefinition, progress: JobProgress): readonly StartedTask[] => {
  const started: StartedTask[] = [];
  for (let repetition = 0; repetition < definition.times; repetition += 1) {
    for (const [step] of definition.steps.entries()) {
      for (const [index, task] of progress.listTasks(repetition, step).entries()) {
        if (task.runNumber > 0) {
          started.push([repetition, step, index, task]);
        }
      }
    }
  }
  return started;
};

const toCrashRows = (
  started: readonly StartedTask[],
  field: 'crashes' | 'unconfirmedCrashes',
): readonly TaskCrashRows[] =>
  started
    .filter(([, , , task]) => task[field].length > 0)
    .map(([repetition, step, index, task]) => [repetition, step, index, task[field].map(toCrashRow)]);

/** Lists the runs of gangs in which a member has failed while others have not ended. */
const listFailedGangRuns = (definition: JobDefinition, progress: JobProgress): readonly FailedGangRun[] =>
  Array.from({ length: definition.times }, (_none, repetition) =>
    definition.steps.flatMap((_step, step): readonly FailedGangRun[] => {
      const run = progress.getFailedGangRun(repetition, step);
      return run === undefined ? [] : [[repetition, step, run]];
    }),
  ).flat();

/** Formats the progress of a job as the JSON text of its log record. `parseProgress` reads it back. */
export const formatProgress = (definition: JobDefinition, progress: JobProgress): string => {
  const started = listStartedTasks(definition, progress);
  const rows = started.map(([repetition, step, index, task]) => {
    const { phase, runNumber, failureCount, endpoint, checkpoint } = task;
    return [repetition, step, index, phase[0]!, runNumber, failureCount, endpoint, checkpoint];
  });
  const crashes = toCrashRows(started, 'crashes');
  const doubts = toCrashRows(started, 'unconfirmedCrashes');
  const failedGangRuns = listFailedGangRuns(definition, progress);
  const ending = progress.isEnded() ? progress.getState() : undefined;
  return JSON.stringify({
    ending,
    endedAtMs: progress.getEndedAtMs(),
    tasks: rows,
    ...(crashes.length === 0 ? {} : { crashes }),
    ...(doubts.length === 0 ? {} : { doubts }),
    ...(failedGangRuns.length === 0 ? {} : { failedGangRuns }),
  });
};
