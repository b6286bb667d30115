import type { JobStep } from './JobStep';

/** Maximum number of tasks of a job over all steps and repetitions. Bounds the memory that one job takes on a box. */
const MAX_TASKS_PER_JOB = 100_000;

/**
 * Returns why the steps of a job with a number of repetitions are invalid: none, a dependency that is not an earlier step, or too many
 * tasks. Returns undefined when they are valid.
 */
export const checkDefinition = (steps: readonly JobStep[], times: number): string | undefined => {
  if (steps.length === 0) {
    return 'steps: expected at least one';
  }
  let taskCount = 0;
  for (const [number, step] of steps.entries()) {
    taskCount += step.count * times;
    const unknown = step.dependsOn.find((earlier) => earlier < 0 || earlier >= steps.length);
    if (unknown !== undefined) {
      return `steps[${number}]: waits for step ${unknown}, which does not exist`;
    }
    // A step may depend only on earlier steps, which rules out cycles.
    const later = step.dependsOn.find((earlier) => earlier >= number);
    if (later !== undefined) {
      return `steps[${number}]: waits for step ${later}, which is not an earlier step`;
    }
  }
  return taskCount > MAX_TASKS_PER_JOB
    ? `steps: ${taskCount} tasks in all; at most ${MAX_TASKS_PER_JOB}`
    : undefined;
};
