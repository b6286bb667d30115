import type { JobId } from '../../jobs/JobId';
import type { LineFields } from '../../logging/LineFields';
import type { LiveJob } from './LiveJob';
import type { StepWait } from './StepWait';
import { toRoundedWaitTimes } from './toRoundedWaitTimes';
import type { WaitTimes } from './WaitTimes';

/** Waits shorter than this are logged only with the placement. */
const MIN_LOGGED_WAIT_MS = 1000;
/** Minimum interval between two checks of all waits. */
const CHECK_INTERVAL_MS = 500;

/** Returns the sum of the wait times of all causes, in milliseconds. */
const computeTotalWaitMs = (waitTimes: WaitTimes): number =>
  Object.values(waitTimes).reduce((sum, ms) => sum + ms, 0);

/** Creates the fields of a log line on the wait of one step; `step` is its `REPETITION.STEP`. */
const createLogFields = (
  { definition: { id, queue } }: LiveJob,
  step: string,
  waitTimes: WaitTimes,
): LineFields => ({
  job: id,
  step: `${id}.${step}`,
  queue: queue.name,
  waits: toRoundedWaitTimes(waitTimes),
});

/**
 * Logs how long steps have waited, by cause, when the wait reaches `MIN_LOGGED_WAIT_MS` and each time it has doubled since. So the wait is
 * known also if the leader ends before the placement, which logs the whole wait.
 */
export class LongWaitLogger {
  private lastCheckedAt = -Infinity;
  /** Length of each wait when it was last logged, in milliseconds. */
  private readonly lastLoggedWaitMs = new WeakMap<StepWait, number>();

  constructor(
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    private readonly sendLog: (message: string, fields: LineFields) => void,
  ) {}

  /** Checks the waits of all jobs that haven't ended, and logs the long ones. Does nothing within `CHECK_INTERVAL_MS` of the last check. */
  logLongWaits(now: number): void {
    if (now - this.lastCheckedAt < CHECK_INTERVAL_MS) {
      return;
    }
    this.lastCheckedAt = now;
    for (const job of this.jobs.values()) {
      if (!job.progress.isEnded()) {
        this.logJobWaits(job, now);
      }
    }
  }

  /** Returns the fields of a log line for each step that waits, in all jobs that haven't ended. */
  listOpenWaits(now: number): readonly LineFields[] {
    return [...this.jobs.values()]
      .filter(({ progress }) => !progress.isEnded())
      .flatMap((job) =>
        job.listStepWaits().map(([name, wait]) => createLogFields(job, name, wait.getWaitTimes(now))),
      );
  }

  private logJobWaits(job: LiveJob, now: number): void {
    for (const [name, wait] of job.listStepWaits()) {
      const waitTimes = wait.getWaitTimes(now);
      const totalMs = computeTotalWaitMs(waitTimes);
      if (totalMs >= Math.max(MIN_LOGGED_WAIT_MS, 2 * (this.lastLoggedWaitMs.get(wait) ?? 0))) {
        this.lastLoggedWaitMs.set(wait, totalMs);
        this.sendLog('Step waits.', createLogFields(job, name, waitTimes));
      }
    }
  }
}
