import type { LeaderRecord } from './LeaderRecord';
import { leaderTimings } from './leaderTimings';

const { leaseMs, clockDriftShare, marginMs, unconfirmedGraceMs: unconfirmedMs } = leaderTimings;
/** From the sending of a grant until all that it leased has certainly ended. */
const LEASE_BOUND_MS = leaseMs * (1 + clockDriftShare) + marginMs;

/**
 * Works out until when what earlier leaders leased may run on endpoints that nobody has heard since. A leader renews leases for a
 * bounded time after its last write to the topic that the other boxes follow, and not at all once it has said that it stopped; each of
 * its writes was read here after it was made. Counted from a leader's last sign and not from the next one's election: after an
 * outage of 5.5 s and a change of leader, endpoints that had left meanwhile were waited for 12.4 s more, 7.2 s of them in vain.
 */
export class LeaseHistory {
  private epoch = 0;
  /** Monotonic time of the newest sign of the leader of that epoch. */
  private signAt = -Infinity;
  private hasStopped = false;
  /** The same bound for the leaders before it. */
  private earlierEndAt = -Infinity;

  /** A leader's record was read. */
  recordLeader({ epoch, isResigned }: LeaderRecord, now: number): void {
    if (epoch > this.epoch) {
      this.earlierEndAt = Math.max(this.earlierEndAt, this.readEndAt());
      this.epoch = epoch;
    }
    this.recordActivity(now);
    this.hasStopped = isResigned;
  }

  /** Any record of the leader was read. */
  recordActivity(now: number): void {
    this.signAt = now;
  }

  /** The leader of an epoch has said itself that it gives no more leases. */
  recordStopped(epoch: number, now: number): void {
    if (epoch === this.epoch) {
      this.signAt = now;
      this.hasStopped = true;
    }
  }

  /** Monotonic time by which all that the leaders before the newest one leased has ended. */
  getEarlierEndAt(): number {
    return this.earlierEndAt;
  }

  private readEndAt(): number {
    return this.signAt + LEASE_BOUND_MS + (this.hasStopped ? 0 : unconfirmedMs);
  }
}
