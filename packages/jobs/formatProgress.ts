import type { JobDefinition } from './JobDefinition';
import type { JobProgress } from './JobProgress';

/** Formats the progress of a job as the JSON text of its log record. `parseProgress` reads it back. */
export const formatProgress = (definition: JobDefinition, progress: JobProgress): string => {
  const rows: (readonly [number, number, number, string, number, number, string, string])[] = [];
  for (let time = 0; time < definition.times; time += 1) {
    for (const [step] of definition.steps.entries()) {
      for (const [index, task] of progress.readTasks(time, step).entries()) {
        if (task.run > 0) {
          const { phase, run, failures, endpoint, checkpoint } = task;
          rows.push([time, step, index, phase[0]!, run, failures, endpoint, checkpoint]);
        }
      }
    }
  }
  const ending = progress.isEnded() ? progress.readState() : undefined;
  return JSON.stringify({ ending, endedAtMs: progress.readEndedAtMs(), tasks: rows });
};
