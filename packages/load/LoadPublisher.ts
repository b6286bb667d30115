import { createDigest } from './createDigest';
import { formatDigest } from './formatDigest';
import type { LoadSnapshot } from './LoadSnapshot';
import { StartRates } from './StartRates';

interface LoadMoment {
  readonly now: number;
  readonly wallMs: number;
}

/** Every box reads each digest; waiting work changes little in less time, beside objectives of seconds. */
const INTERVAL_MS = 1000;

/** Decides when a leader tells its load, and what. One for each epoch. */
export class LoadPublisher {
  private readonly rates: StartRates;
  private sequence = 0;
  private toldAt = -Infinity;
  /** True when something waited by the newest digest. */
  private hasWaiting = false;

  constructor(
    private readonly epoch: number,
    now: number,
  ) {
    this.rates = new StartRates(now);
  }

  recordStart(queue: string, now: number): void {
    this.rates.recordStart(queue, now);
  }

  /** The text of a digest that is due; undefined when none is, or nothing waits and the boxes know it. */
  createDueDigest({ now, wallMs }: LoadMoment, readSnapshot: () => LoadSnapshot): string | undefined {
    if (now - this.toldAt < INTERVAL_MS) {
      return undefined;
    }
    this.toldAt = now;
    const snapshot = readSnapshot();
    const hadWaiting = this.hasWaiting;
    this.hasWaiting = snapshot.queues.some(({ waitingTasks }) => waitingTasks > 0);
    if (!this.hasWaiting && !hadWaiting) {
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
