import type { LogRecord } from '../store/LogRecord';
import type { KnownLoad } from './KnownLoad';
import type { LoadDigest } from './LoadDigest';
import { loadKeys } from './loadKeys';
import { parseDigest } from './parseDigest';

/** What a box knows of time and of the leader when it looks at the load. */
interface LoadMoment {
  readonly now: number;
  readonly wallMs: number;
  /** The newest epoch known; undefined before any. */
  readonly epoch: number | undefined;
}

/** Two digests have been missed: room and queues have changed since. */
const STALE_MS = 2000;

const isNewer = (digest: LoadDigest, known: LoadDigest | undefined): boolean =>
  known === undefined ||
  digest.epoch > known.epoch ||
  (digest.epoch === known.epoch && digest.sequence > known.sequence);

/** The newest digest that has come to this box. */
export class LoadView {
  private newest: LoadDigest | undefined;
  /** Monotonic time at which it was read. */
  private readAt = -Infinity;

  /**
   * Takes in records of the states' topic, whose newest epoch so far is `epoch`; gives how many digests were refused. One of an epoch that nobody
   * has claimed is no leader's, and would hide all that follow.
   */
  foldRecords(records: readonly Pick<LogRecord, 'key' | 'value'>[], now: number, epoch: number): number {
    let refusedCount = 0;
    for (const { key, value } of records) {
      if (key !== loadKeys.digestKey) {
        continue;
      }
      const digest = parseDigest(value);
      if (digest === undefined || digest.epoch > epoch) {
        refusedCount += 1;
      } else if (isNewer(digest, this.newest)) {
        this.newest = digest;
        this.readAt = now;
      }
    }
    return refusedCount;
  }

  /** Milliseconds since the newest digest was made; undefined without one. */
  getAgeMs({ now, wallMs }: LoadMoment): number | undefined {
    // Clocks that are apart, and records that are read long after they were written, may make a digest older than it is, not younger.
    return this.newest && Math.max(now - this.readAt, wallMs - this.newest.madeAtMs);
  }

  /** The load to go by; undefined when there is none, it is old, or a newer leader has not told its own yet. */
  getLoad(moment: LoadMoment): KnownLoad | undefined {
    const digest = this.newest;
    const ageMs = this.getAgeMs(moment);
    if (
      digest === undefined ||
      ageMs === undefined ||
      ageMs > STALE_MS ||
      digest.epoch < (moment.epoch ?? 0)
    ) {
      return undefined;
    }
    return { digest, ageMs };
  }
}
