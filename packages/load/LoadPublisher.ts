import { createDigest } from './createDigest';
import { formatDigest } from './formatDigest';
import type { LoadSnapshot } from './LoadSnapshot';
import { StartRates } from './StartRates';

interface ClockReadings {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Unix milliseconds. */
  readonly wallMs: number;
}

/** Minimum time between digests. */
const PUBLISH_INTERVAL_MS = 1000;

/** Creates the load digests of a leader when they are due. One instance for each epoch. */
export class LoadPublisher {
  private readonly startRates: StartRates;
  private lastSequence = 0;
  /** Monotonic time of the newest snapshot. */
  private snapshotAt = -Infinity;
  /** True when the newest snapshot had waiting tasks. */
  private hasWaitingTasks = false;

  constructor(
    private readonly epoch: number,
    now: number,
  ) {
    this.startRates = new StartRates(now);
  }

  recordStart(queue: string, now: number): void {
    this.startRates.recordStart(queue, now);
  }

  /**
   * Returns the record of a new digest; undefined before the interval is over, and when no tasks wait now and none did in the snapshot
   * before.
   */
  createDueDigest({ now, wallMs }: ClockReadings, getSnapshot: () => LoadSnapshot): string | undefined {
    if (now - this.snapshotAt < PUBLISH_INTERVAL_MS) {
      return undefined;
    }
    this.snapshotAt = now;
    const snapshot = getSnapshot();
    const wasWaiting = this.hasWaitingTasks;
    this.hasWaitingTasks = snapshot.queues.some(({ waitingTasks }) => waitingTasks > 0);
    if (!this.hasWaitingTasks && !wasWaiting) {
      return undefined;
    }
    this.lastSequence += 1;
    return formatDigest(
      createDigest({
        epoch: this.epoch,
        sequence: this.lastSequence,
        madeAtMs: Math.round(wallMs),
        snapshot,
        getStartsPerSecond: (queue) => this.startRates.computeStartsPerSecond(queue, now),
      }),
    );
  }
}
