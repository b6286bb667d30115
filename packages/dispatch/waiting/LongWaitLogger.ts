import type { JobId } from '../../jobs/JobId';
import type { LineFields } from '../../logging/LineFields';
import type { LiveJob } from './LiveJob';
import type { StepWait } from './StepWait';
import { toRoundedTimes } from './toRoundedTimes';
import type { WaitTimes } from './WaitTimes';

/** A shorter wait is told with the placement alone. */
const FIRST_TOLD_MS = 1000;
/** Between looks at all that waits. */
const LOOK_MS = 500;

const measureTotal = (times: WaitTimes): number => Object.values(times).reduce((sum, ms) => sum + ms, 0);

const toFields = ({ definition: { id, queue } }: LiveJob, step: string, times: WaitTimes): LineFields => ({
  job: id,
  step: `${id}.${step}`,
  queue: queue.name,
  waits: toRoundedTimes(times),
});

/**
 * Tells why steps wait while they do so, each time the wait has doubled: once they are placed the line of it tells, but a leader may go before
 * that, and what it knew of the wait goes with it.
 */
export class LongWaitLogger {
  private lookedAt = -Infinity;
  /** How long each had waited when it was last told, in milliseconds. */
  private readonly told = new WeakMap<StepWait, number>();

  constructor(
    private readonly jobs: ReadonlyMap<JobId, LiveJob>,
    private readonly sendTell: (sentence: string, fields: LineFields) => void,
  ) {}

  logLongWaits(now: number): void {
    if (now - this.lookedAt < LOOK_MS) {
      return;
    }
    this.lookedAt = now;
    for (const job of this.jobs.values()) {
      if (!job.progress.isEnded()) {
        this.checkJob(job, now);
      }
    }
  }

  /** Fields of a line about each wait that goes on: this leader goes, and the next one knows nothing of them. */
  listOpenWaits(now: number): readonly LineFields[] {
    return [...this.jobs.values()]
      .filter(({ progress }) => !progress.isEnded())
      .flatMap((job) => job.readWaits().map(([name, wait]) => toFields(job, name, wait.readTimes(now))));
  }

  private checkJob(job: LiveJob, now: number): void {
    for (const [name, wait] of job.readWaits()) {
      const times = wait.readTimes(now);
      const totalMs = measureTotal(times);
      if (totalMs >= Math.max(FIRST_TOLD_MS, 2 * (this.told.get(wait) ?? 0))) {
        this.told.set(wait, totalMs);
        this.sendTell('Step waits.', toFields(job, name, times));
      }
    }
  }
}
