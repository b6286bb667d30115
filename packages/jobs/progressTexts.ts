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

/** Lists the tasks of a part that have had a run. */
const listStartedTasksOfPart = (progress: JobProgress, part: number): readonly StartedTask[] =>
  progress
    .getNumbering()
    .listAddresses(part)
    .flatMap((address): readonly StartedTask[] => {
      const task = progress.getTask(address);
      return task === undefined || task.runNumber === 0
        ? []
        : [[address.repetition, address.step, address.index, task]];
    });

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

const toTaskFields = (started: readonly StartedTask[], failedGangRuns: readonly FailedGangRun[]): object => {
  const crashes = toCrashRows(started, 'crashes');
  const doubts = toCrashRows(started, 'unconfirmedCrashes');
  return {
    tasks: started.map(([repetition, step, index, task]) => {
      const { phase, runNumber, failureCount, endpoint, checkpoint } = task;
      return [repetition, step, index, phase[0]!, runNumber, failureCount, endpoint, checkpoint];
    }),
    ...(crashes.length === 0 ? {} : { crashes }),
    ...(doubts.length === 0 ? {} : { doubts }),
    ...(failedGangRuns.length === 0 ? {} : { failedGangRuns }),
  };
};

/**
 * Formats the progress of a job as the JSON text of one log record (`formatWhole`), or of one for each part and one that says so. `parseProgress` reads
 * both back.
 */
export const progressTexts = {
  formatWhole: (definition: JobDefinition, progress: JobProgress): string =>
    JSON.stringify({
      ending: progress.isEnded() ? progress.getState() : undefined,
      endedAtMs: progress.getEndedAtMs(),
      ...toTaskFields(listStartedTasks(definition, progress), listFailedGangRuns(definition, progress)),
    }),
  /** Formats the tasks of a part, and the failed runs of the gangs that begin in it. */
  formatPart: (progress: JobProgress, part: number): string => {
    const failedGangRuns = progress
      .getNumbering()
      .listAddresses(part)
      .flatMap(({ repetition, step, index }): readonly FailedGangRun[] => {
        const run = index === 0 ? progress.getFailedGangRun(repetition, step) : undefined;
        return run === undefined ? [] : [[repetition, step, run]];
      });
    return JSON.stringify({
      endedAtMs: 0,
      ...toTaskFields(listStartedTasksOfPart(progress, part), failedGangRuns),
    });
  },
  /** Formats the end of a job whose progress is recorded in parts, which are not needed any more. */
  formatEnd: (progress: JobProgress): string =>
    JSON.stringify({ ending: progress.getState(), endedAtMs: progress.getEndedAtMs(), tasks: [] }),
  /**
   * Formats the record in place of the whole one while there are parts. Earlier versions, which don't read parts, take the job for cancelled: they would
   * run its tasks again otherwise.
   */
  formatDivided: (): string =>
    JSON.stringify({ ending: 'cancelled', endedAtMs: 0, tasks: [], isDivided: true }),
} as const;
