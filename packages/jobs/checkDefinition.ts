import type { JobStep } from './JobStep';

/** Most tasks of one job over all steps and times, so that one job cannot fill a box's memory. */
const MAX_TASKS = 100_000;

/** Tells why the steps of a job cannot be taken; undefined when they can. */
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
    // Steps may only wait for earlier ones, so no cycle can be written.
    const later = step.dependsOn.find((earlier) => earlier >= number);
    if (later !== undefined) {
      return `steps[${number}]: waits for step ${later}, which is not an earlier step`;
    }
  }
  return taskCount > MAX_TASKS ? `steps: ${taskCount} tasks in all; at most ${MAX_TASKS}` : undefined;
};
