import type { LiveJob } from './LiveJob';
import type { WaitingStep } from './WaitingStep';

/** A gang starts as a whole, so it waits until none of its members may be running. */
const isGangWhole = (indexes: readonly number[], count: number): boolean => indexes.length === count;

/** Lists the steps of a job that have tasks to start at a wall clock time. */
export const readWaitingSteps = (job: LiveJob, wallMs: number): readonly WaitingStep[] => {
  const waiting: WaitingStep[] = [];
  const { definition, progress } = job;
  for (let time = 0; time < definition.times; time += 1) {
    if (job.getDueAtMs(time) > wallMs) {
      break;
    }
    for (const [step, shape] of definition.steps.entries()) {
      if (progress.isStepDone(time, step) || !progress.isStepReady(time, step)) {
        continue;
      }
      const indexes: number[] = [];
      for (const [index, task] of progress.listTasks(time, step).entries()) {
        if (task.phase === 'waiting') {
          indexes.push(index);
        }
      }
      if (indexes.length === 0 || (shape.isGang && !isGangWhole(indexes, shape.count))) {
        continue;
      }
      waiting.push({ job, time, step, shape, indexes, objectiveAtMs: job.getObjectiveAtMs(time) });
    }
  }
  return waiting;
};
