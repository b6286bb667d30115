import type { LeaderRecord } from './LeaderRecord';
import { leaderTimings } from './leaderTimings';

const { leaseMs, clockDriftShare, marginMs, unconfirmedGraceMs } = leaderTimings;
/** From the sending of a grant until its lease has expired by any clock within the tolerance. */
const MAX_LEASE_MS = leaseMs * (1 + clockDriftShare) + marginMs;

/**
 * Computes until when runs may continue on leases of earlier leaders, on endpoints that have not responded since. A leader renews
 * leases for a bounded time after its last write to the log, and not at all once it has stopped. The bound counts from the last
 * activity of a leader that was read, which is later than the write, and not from the next election, which may be much later still.
 */
export class LeaseHistory {
  private epoch = 0;
  /** Monotonic time of the last activity of the leader of that epoch. */
  private activeAt = -Infinity;
  private hasStopped = false;
  /** Monotonic time at which the leases of all leaders before it have expired. */
  private earlierEndAt = -Infinity;

  /** Records that a leader record was read. */
  recordLeader({ epoch, isResigned }: LeaderRecord, now: number): void {
    if (epoch > this.epoch) {
      this.earlierEndAt = Math.max(this.earlierEndAt, this.computeEndAt());
      this.epoch = epoch;
    }
    this.recordActivity(now);
    this.hasStopped = isResigned;
  }

  /** Records that any record of the leader was read. */
  recordActivity(now: number): void {
    this.activeAt = now;
  }

  /** Records that the leader of an epoch has stopped renewing leases, by its own message. */
  recordStopped(epoch: number, now: number): void {
    if (epoch === this.epoch) {
      this.activeAt = now;
      this.hasStopped = true;
    }
  }

  /** Returns the monotonic time at which all leases of the leaders before the newest one have expired. */
  getEarlierEndAt(): number {
    return this.earlierEndAt;
  }

  private computeEndAt(): number {
    return this.activeAt + MAX_LEASE_MS + (this.hasStopped ? 0 : unconfirmedGraceMs);
  }
}
