import type { LeaderRecord } from './LeaderRecord';
import { leaderTimings } from './leaderTimings';

const { leaseMs, clockDriftShare, marginMs, unconfirmedGraceMs } = leaderTimings;
/** Time from the sending of a grant until its lease has expired by any clock within the tolerance. */
const MAX_LEASE_MS = leaseMs * (1 + clockDriftShare) + marginMs;

/**
 * Computes until when runs may continue on leases of earlier leaders, on endpoints that have not responded since. A leader renews
 * leases for a bounded time after its last write to the log, and not at all once it has stopped. The bound counts from the last
 * activity of a leader that was read, which is later than the write, and not from the next election, which may be much later still.
 */
export class LeaseHistory {
  private newestEpoch = 0;
  /** Process of the leader of `newestEpoch`. */
  private leaderProcess: string | undefined;
  /** Monotonic time of the last activity of the leader of `newestEpoch`. */
  private leaderActiveAt = -Infinity;
  private hasLeaderStopped = false;
  /** Monotonic time by which the process of that leader has certainly ended; Infinity while it may run. */
  private leaderEndedAt = Infinity;
  /** Monotonic time at which the leases of all leaders before `newestEpoch` have expired. */
  private earlierLeasesEndAt = -Infinity;

  /** Records that a leader record was read. With a newer epoch, the leases of the known leader become earlier ones. */
  recordLeader({ epoch, process, isResigned }: LeaderRecord, now: number): void {
    if (epoch > this.newestEpoch) {
      this.earlierLeasesEndAt = Math.max(this.earlierLeasesEndAt, this.computeLeasesEndAt());
      this.newestEpoch = epoch;
      this.leaderProcess = process;
      this.leaderEndedAt = Infinity;
    }
    this.recordActivity(now);
    this.hasLeaderStopped = isResigned;
  }

  /**
   * Records activity of the newest leader at a monotonic time.
   */
  recordActivity(now: number): void {
    this.leaderActiveAt = now;
  }

  /**
   * Records the message of the leader of an epoch that it has stopped renewing leases. Counts as activity. Ignored for epochs other than
   * the newest.
   */
  recordLeaderStopped(epoch: number, now: number): void {
    if (epoch === this.newestEpoch) {
      this.leaderActiveAt = now;
      this.hasLeaderStopped = true;
    }
  }

  /**
   * Records that a process has certainly ended by a monotonic time. If it is that of the newest leader, its leases are not renewed after that
   * time, whatever of its records is read later. Ignored for other processes.
   */
  recordProcessEnded(process: string, now: number): void {
    if (process === this.leaderProcess) {
      this.leaderEndedAt = Math.min(this.leaderEndedAt, now);
    }
  }

  /** Returns the monotonic time at which all leases of the leaders before the newest one have expired. */
  getEarlierLeasesEndAt(): number {
    return this.earlierLeasesEndAt;
  }

  private computeLeasesEndAt(): number {
    const lastRenewalAt = this.leaderActiveAt + (this.hasLeaderStopped ? 0 : unconfirmedGraceMs);
    return Math.min(lastRenewalAt, this.leaderEndedAt) + MAX_LEASE_MS;
  }
}
