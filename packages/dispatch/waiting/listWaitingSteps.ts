import type { LiveJob } from './LiveJob';
import type { WaitingStep } from './WaitingStep';

/** Returns whether all members of a gang are waiting; `count` is the number of members. A gang starts only as a whole. */
const isWholeGangWaiting = (indexes: readonly number[], count: number): boolean => indexes.length === count;

/**
 * Returns the steps of a job with waiting tasks, in all repetitions that are due at a wall clock time. Leaves out steps that depend on
 * others that aren't done, and gangs of which some members don't wait.
 */
export const listWaitingSteps = (job: LiveJob, wallMs: number): readonly WaitingStep[] => {
  const steps: WaitingStep[] = [];
  const { definition, progress } = job;
  for (let repetition = 0; repetition < definition.times; repetition += 1) {
    if (job.getDueAtMs(repetition) > wallMs) {
      break;
    }
    for (const [step, shape] of definition.steps.entries()) {
      if (progress.isStepDone(repetition, step) || !progress.isStepReady(repetition, step)) {
        continue;
      }
      const indexes: number[] = [];
      for (const [index, task] of progress.listTasks(repetition, step).entries()) {
        if (task.phase === 'waiting') {
          indexes.push(index);
        }
      }
      if (indexes.length === 0 || (shape.isGang && !isWholeGangWaiting(indexes, shape.count))) {
        continue;
      }
      steps.push({ job, repetition, step, shape, indexes, objectiveAtMs: job.getObjectiveAtMs(repetition) });
    }
  }
  return steps;
};
