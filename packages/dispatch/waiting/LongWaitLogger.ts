import type { JobId } from '../../jobs/JobId';
import type { LineFields } from '../../logging/LineFields';
import type { LiveJob } from './LiveJob';
import type { StepWait } from './StepWait';
import { toRoundedTimes } from './toRoundedTimes';
import type { WaitTimes } from './WaitTimes';

/** Shorter waits are logged with the placement only. */
const MIN_LOGGED_MS = 1000;
/** Interval between two checks of all waits. */
const CHECK_INTERVAL_MS = 500;

const computeTotalMs = (times: WaitTimes): number => Object.values(times).reduce((sum, ms) => sum + ms, 0);

const createFields = (
  { definition: { id, queue } }: LiveJob,
  step: string,
  times: WaitTimes,
): LineFields => ({
  job: id,
  step: `${id}.${step}`,
  queue: queue.name,
  waits: toRoundedTimes(times),
});

/**
 * Logs why steps wait, each time the wait has doubled. The line of the placement has the whole wait, but a leader that ends before
 * would leave no record of it.
 */
export class LongWaitLogger {
  private checkedAt = -Infinity;
  /** Duration of each wait when it was last logged, in milliseconds. */
  private readonly loggedWaitMs = new WeakMap<StepWait, number>();

  constructor(
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    private readonly sendLog: (message: string, fields: LineFields) => void,
  ) {}

  logLongWaits(now: number): void {
    if (now - this.checkedAt < CHECK_INTERVAL_MS) {
      return;
    }
    this.checkedAt = now;
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
      .flatMap((job) => job.listWaits().map(([name, wait]) => createFields(job, name, wait.getTimes(now))));
  }

  private logJobWaits(job: LiveJob, now: number): void {
    for (const [name, wait] of job.listWaits()) {
      const times = wait.getTimes(now);
      const totalMs = computeTotalMs(times);
      if (totalMs >= Math.max(MIN_LOGGED_MS, 2 * (this.loggedWaitMs.get(wait) ?? 0))) {
        this.loggedWaitMs.set(wait, totalMs);
        this.sendLog('Step waits.', createFields(job, name, times));
      }
    }
  }
}
