import type { LogRecord } from '../store/LogRecord';
import type { KnownLoad } from './KnownLoad';
import type { LoadDigest } from './LoadDigest';
import { loadKeys } from './loadKeys';
import { parseDigest } from './parseDigest';

/** Times of both clocks, and the newest known leader epoch, when a box reads the load. */
interface LoadMoment {
  readonly now: number;
  readonly wallMs: number;
  /** Newest epoch known; undefined without one. */
  readonly epoch: number | undefined;
}

/** Age from which a digest is stale: two publish intervals. */
const MAX_DIGEST_AGE_MS = 2000;

const isNewer = (digest: LoadDigest, known: LoadDigest | undefined): boolean =>
  known === undefined ||
  digest.epoch > known.epoch ||
  (digest.epoch === known.epoch && digest.sequence > known.sequence);

/** The newest load digest that this box has received. */
export class LoadView {
  private newestDigest: LoadDigest | undefined;
  /** Monotonic time at which the newest digest was received. */
  private digestReceivedAt = -Infinity;

  /**
   * Folds records of the states' topic, whose newest epoch so far is `epoch`, and returns how many digests were rejected. A digest of an
   * epoch that has not been claimed is rejected, since it would hide the digests of real leaders.
   */
  foldRecords(records: readonly Pick<LogRecord, 'key' | 'value'>[], now: number, epoch: number): number {
    let rejectedCount = 0;
    for (const { key, value } of records) {
      if (key !== loadKeys.digestKey) {
        continue;
      }
      const digest = parseDigest(value);
      if (digest === undefined || digest.epoch > epoch) {
        rejectedCount += 1;
      } else if (isNewer(digest, this.newestDigest)) {
        this.newestDigest = digest;
        this.digestReceivedAt = now;
      }
    }
    return rejectedCount;
  }

  /**
   * Returns the age of the newest digest in milliseconds, since its receipt or its creation, whichever is longer; undefined without one.
   */
  getDigestAgeMs({ now, wallMs }: LoadMoment): number | undefined {
    // The larger of both, so that neither clock skew nor a late read makes a stale digest look fresh.
    return this.newestDigest && Math.max(now - this.digestReceivedAt, wallMs - this.newestDigest.madeAtMs);
  }

  /** Returns the newest digest; undefined when there is none, it is stale, or the current leader has not published one. */
  getFreshLoad(moment: LoadMoment): KnownLoad | undefined {
    const digest = this.newestDigest;
    const ageMs = this.getDigestAgeMs(moment);
    if (
      digest === undefined ||
      ageMs === undefined ||
      ageMs > MAX_DIGEST_AGE_MS ||
      digest.epoch < (moment.epoch ?? 0)
    ) {
      return undefined;
    }
    return { digest, ageMs };
  }
}
