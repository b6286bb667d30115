import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import { toTaskName } from '../../jobs/toTaskName';
import type { LiveJob } from '../waiting/LiveJob';
import type { CrashRecord } from './CrashRecord';

/** Highest number of tasks listed in one log line; the field `count` of the line has the number of all tasks. */
const MAX_LOGGED_TASKS = 20;

/** Creates the log fields for records of a crash, confirmed or not: each task with its blame, the age of its run, and its crashes so far. */
export const createCrashFields = (
  endpoint: EndpointIncarnation,
  records: readonly CrashRecord[],
  jobs: ReadonlyMap<JobId, LiveJob>,
): Readonly<Record<string, unknown>> => ({
  endpoint,
  count: records.length,
  tasks: records.slice(0, MAX_LOGGED_TASKS).map(({ job, address, crash }) => {
    const task = jobs.get(job)?.progress.getTask(address);
    return {
      task: toTaskName(job, address),
      blame: crash.blame,
      ageMs: crash.ageMs,
      charged: task?.crashes.length,
      unconfirmed: task?.unconfirmedCrashes.length,
    };
  }),
});
