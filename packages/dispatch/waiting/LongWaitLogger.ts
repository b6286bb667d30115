import type { JobId } from '../../jobs/JobId';
import type { LineFields } from '../../logging/LineFields';
import type { LiveJob } from './LiveJob';
import type { StepWait } from './StepWait';
import { toRoundedWaitTimes } from './toRoundedWaitTimes';
import type { WaitTimes } from './WaitTimes';

/** Shorter waits are logged with the placement only. */
const MIN_LOGGED_WAIT_MS = 1000;
/** Interval between two checks of all waits. */
const CHECK_INTERVAL_MS = 500;

const computeTotalWaitMs = (times: WaitTimes): number =>
  Object.values(times).reduce((sum, ms) => sum + ms, 0);

const createLogFields = (
  { definition: { id, queue } }: LiveJob,
  step: string,
  times: WaitTimes,
): LineFields => ({
  job: id,
  step: `${id}.${step}`,
  queue: queue.name,
  waits: toRoundedWaitTimes(times),
});

/**
 * Logs why steps wait, each time the wait has doubled. The line of the placement has the whole wait, but a leader that ends before
 * would leave no record of it.
 */
export class LongWaitLogger {
  private lastCheckedAt = -Infinity;
  /** Duration of each wait when it was last logged, in milliseconds. */
  private readonly lastLoggedWaitMs = new WeakMap<StepWait, number>();

  constructor(
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    private readonly sendLog: (message: string, fields: LineFields) => void,
  ) {}

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

  /** Returns the log fields of each open wait, for the end of this leader's epoch. */
  listOpenWaits(now: number): readonly LineFields[] {
    return [...this.jobs.values()]
      .filter(({ progress }) => !progress.isEnded())
      .flatMap((job) =>
        job.listStepWaits().map(([name, wait]) => createLogFields(job, name, wait.getWaitTimes(now))),
      );
  }

  private logJobWaits(job: LiveJob, now: number): void {
    for (const [name, wait] of job.listStepWaits()) {
      const times = wait.getWaitTimes(now);
      const totalMs = computeTotalWaitMs(times);
      if (totalMs >= Math.max(MIN_LOGGED_WAIT_MS, 2 * (this.lastLoggedWaitMs.get(wait) ?? 0))) {
        this.lastLoggedWaitMs.set(wait, totalMs);
        this.sendLog('Step waits.', createLogFields(job, name, times));
      }
    }
  }
}
