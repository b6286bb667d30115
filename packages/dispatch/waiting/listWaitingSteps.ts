import type { LiveJob } from './LiveJob';
import type { WaitingStep } from './WaitingStep';

/** Number of waiting tasks of a job that are listed, unless the next is a gang with more. No round places more of one job. */
const MAX_LISTED_TASKS = 1024;

/**
 * Returns the steps of a job with waiting tasks, in all repetitions that are due at a wall clock time, up to a number of tasks. Leaves out steps that
 * depend on others that aren't done, and gangs of which some members don't wait.
 */
export const listWaitingSteps = (job: LiveJob, wallMs: number): readonly WaitingStep[] => {
  const steps: WaitingStep[] = [];
  const { definition, progress } = job;
  let leftCount = MAX_LISTED_TASKS;
  for (
    let repetition = progress.getFirstOpenRepetition();
    repetition < definition.times && leftCount > 0;
    repetition += 1
  ) {
    if (job.getDueAtMs(repetition) > wallMs) {
      break;
    }
    for (const [step, shape] of definition.steps.entries()) {
      if (
        progress.isStepDone(repetition, step) ||
        !progress.isStepReady(repetition, step) ||
        leftCount <= 0
      ) {
        continue;
      }
      const indexes = progress.listWaitingIndexes(repetition, step, shape.isGang ? shape.count : leftCount);
      // A gang starts only as a whole.
      if (indexes.length === 0 || (shape.isGang && indexes.length < shape.count)) {
        continue;
      }
      leftCount -= indexes.length;
      steps.push({ job, repetition, step, shape, indexes, objectiveAtMs: job.getObjectiveAtMs(repetition) });
    }
  }
  return steps;
};
