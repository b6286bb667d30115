import type { LiveJob } from './LiveJob';
import type { WaitingStep } from './WaitingStep';

/** Returns whether all members of a gang are waiting, since a gang starts as a whole. */
const isGangWhole = (indexes: readonly number[], count: number): boolean => indexes.length === count;

/** Returns the steps of a job with tasks that may start at a wall clock time. */
export const listWaitingSteps = (job: LiveJob, wallMs: number): readonly WaitingStep[] => {
  const steps: WaitingStep[] = [];
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
      steps.push({ job, repetition: time, step, shape, indexes, objectiveAtMs: job.getObjectiveAtMs(time) });
    }
  }
  return steps;
};
