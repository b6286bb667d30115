import { createDigest } from './createDigest';
import { formatDigest } from './formatDigest';
import type { LoadSnapshot } from './LoadSnapshot';
import { StartRates } from './StartRates';

interface Clocks {
  readonly now: number;
  readonly wallMs: number;
}

/** Every box reads each digest, which bounds the rate. */
const PUBLISH_INTERVAL_MS = 1000;

/** Creates the load digests of a leader when they are due. One instance for each epoch. */
export class LoadPublisher {
  private readonly rates: StartRates;
  private sequence = 0;
  private createdAt = -Infinity;
  /** True when the newest snapshot had waiting tasks. */
  private isWaiting = false;

  constructor(
    private readonly epoch: number,
    now: number,
  ) {
    this.rates = new StartRates(now);
  }

  recordStart(queue: string, now: number): void {
    this.rates.recordStart(queue, now);
  }

  /** Returns the text of a digest; undefined when none is due, or when nothing waits and this has been published. */
  createDueDigest({ now, wallMs }: Clocks, getSnapshot: () => LoadSnapshot): string | undefined {
    if (now - this.createdAt < PUBLISH_INTERVAL_MS) {
      return undefined;
    }
    this.createdAt = now;
    const snapshot = getSnapshot();
    const wasWaiting = this.isWaiting;
    this.isWaiting = snapshot.queues.some(({ waitingTasks }) => waitingTasks > 0);
    if (!this.isWaiting && !wasWaiting) {
      return undefined;
    }
    this.sequence += 1;
    return formatDigest(
      createDigest({
        epoch: this.epoch,
        sequence: this.sequence,
        madeAtMs: Math.round(wallMs),
        snapshot,
        getStartsPerSecond: (queue) => this.rates.computePerSecond(queue, now),
      }),
    );
  }
}
