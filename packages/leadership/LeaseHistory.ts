import type { BoxProcess } from './BoxProcess';
import { computeMaxLeaseMs } from './computeMaxLeaseMs';
import { ExtendedLeases } from './ExtendedLeases';
import type { LeaderRecord } from './LeaderRecord';
import { leaderTimings } from './leaderTimings';
import type { LeaseWitness } from './LeaseWitness';
import type { WitnessReport } from './WitnessReport';

/** A leader before the newest one; without box and process, all leaders whose records were not read. */
interface EarlierLeader {
  readonly epoch: number;
  readonly box: string | undefined;
  readonly address?: string | undefined;
  readonly process: string | undefined;
  /** Monotonic time at which its leases have expired. */
  readonly leasesEndAt: number;
  /** If it has named witnesses, what is known of them. */
  readonly testimony?: Testimony | undefined;
}

/** What the witnesses of a leader have said. */
interface Testimony {
  /** Witnesses that have not reported yet. */
  readonly pending: readonly LeaseWitness[];
  /** Monotonic time at which the leases have expired that the leader renewed within the brief grace period, or on the word of a witness that has reported. */
  readonly leasesEndAt: number;
}

const { leaseMs, unconfirmedGraceMs, briefGraceMs, vouchMs } = leaderTimings;
/** Time from the sending of a grant until its lease has expired by any clock within the tolerance. */
const MAX_LEASE_MS = computeMaxLeaseMs(leaseMs);

/**
 * Computes until when runs may continue on leases of earlier leaders, on endpoints that have not responded since. A leader renews
 * leases for a bounded time after its last write to the log, and not at all once it has stopped or its process has ended. If it has named witnesses
 * in its record, the bound is the shorter one once all of them have reported how long they vouched for it. The bound counts
 * from the last activity of a leader that was read, which is later than the write, and not from the next election, which may be much later
 * still; where records may have been missed, from the time at which the next leader became known.
 */
export class LeaseHistory {
  private newestLeader: LeaderRecord | undefined;
  /** Monotonic time of the last activity of the newest leader. */
  private leaderActiveAt = -Infinity;
  private hasLeaderStopped = false;
  /** Monotonic time by which the process of the newest leader has certainly ended; Infinity while it may run. */
  private leaderEndedAt = Infinity;
  private earlierLeaders: readonly EarlierLeader[] = [];
  private readonly extendedLeases = new ExtendedLeases();

  /** @param longestLeaseMs Longest lease that an endpoint accepts, in milliseconds. */
  constructor(private readonly longestLeaseMs: number) {}

  /**
   * Records that a leader record was read. With a newer epoch, the leases of the known leader become earlier ones. What the record says of
   * the leases of earlier leaders includes leaders whose records this process has not read.
   */
  recordLeader(record: LeaderRecord, now: number): void {
    this.recordExtendedLeases(record, now);
    if (record.epoch > (this.newestLeader?.epoch ?? 0)) {
      this.earlierLeaders = this.listLeadersBefore(record, now);
      this.leaderEndedAt = Infinity;
    }
    this.newestLeader = record;
    if (record.earlierLeasesMs !== undefined) {
      const firstOther = record.previous === undefined ? record.epoch : record.epoch - 1;
      this.setLatestEnd(now + record.earlierLeasesMs, ({ epoch }) => epoch < firstOther);
    }
    this.recordActivity(now);
    this.hasLeaderStopped = record.isResigned;
  }

  /** Records activity of the newest leader at a monotonic time. */
  recordActivity(now: number): void {
    this.leaderActiveAt = now;
  }

  /**
   * Records that the newest leader may have written until now, unless it has stopped, as this process may have missed records. It may have named other
   * witnesses, or none.
   */
  recordMissedWrites(now: number): void {
    if (this.newestLeader?.isResigned !== true) {
      this.recordUnnamedLeases(now);
    }
    if (!this.hasLeaderStopped) {
      this.leaderActiveAt = now;
      this.newestLeader = this.newestLeader && { ...this.newestLeader, witnesses: undefined };
    }
  }

  /**
   * Records the message of the leader of an epoch that it has stopped renewing leases. Counts as activity. Ignored for epochs other than
   * the newest.
   */
  recordLeaderStopped(epoch: number, now: number): void {
    if (epoch === this.newestLeader?.epoch) {
      this.leaderActiveAt = now;
      this.hasLeaderStopped = true;
    }
  }

  /**
   * Records that a process of a box runs. Leaders up to an epoch that ran in another process of the box, at the same address, had ended when
   * it started. The records of these leaders must have been read before the process was found to run.
   */
  recordBoxProcess({ box, address, process, startedBy }: BoxProcess, upToEpoch: number): void {
    const hasEnded = (leader: Pick<EarlierLeader, 'epoch' | 'box' | 'address' | 'process'>): boolean =>
      leader.epoch <= upToEpoch &&
      leader.box === box &&
      leader.address === address &&
      leader.process !== process;
    if (this.newestLeader !== undefined && hasEnded(this.newestLeader)) {
      this.leaderEndedAt = Math.min(this.leaderEndedAt, startedBy);
    }
    this.setLatestEnd(startedBy + MAX_LEASE_MS, hasEnded);
  }

  /**
   * Records what a process says of itself as a witness. It knows of a leader later than those up to an epoch, and vouches for none of them any more. The
   * records of these leaders must have been read before.
   */
  recordWitness(report: WitnessReport, upToEpoch: number): void {
    this.earlierLeaders = this.earlierLeaders.map((leader) =>
      leader.epoch <= upToEpoch ? this.applyReport(leader, report) : leader,
    );
  }

  /** Returns the extended leases that leaders have named. */
  getExtendedLeases(): ExtendedLeases {
    return this.extendedLeases;
  }

  /** Returns the monotonic time at which all leases of the leaders before the newest one have expired; -Infinity without such leaders. */
  getEarlierLeasesEndAt(): number {
    return Math.max(-Infinity, ...this.earlierLeaders.map(({ leasesEndAt }) => leasesEndAt));
  }

  /** Returns whether leases may be valid of an earlier leader that ran in the box, or that named it as a witness which has not reported. */
  isResponseAwaited(box: string, now: number): boolean {
    return this.earlierLeaders.some(
      (leader) =>
        leader.leasesEndAt > now &&
        (leader.box === box || leader.testimony?.pending.some((witness) => witness.box === box) === true),
    );
  }

  /** Applies the report of a witness to a leader that has named it. An earlier process at its address has ended, and vouched until then at most. */
  private applyReport(
    leader: EarlierLeader,
    { box, address, process, startedBy, vouchedBy }: WitnessReport,
  ): EarlierLeader {
    const { testimony } = leader;
    const named = testimony?.pending.find((witness) => witness.box === box && witness.address === address);
    if (testimony === undefined || named === undefined) {
      return leader;
    }
    const lastVouchedBy = named.process === process ? vouchedBy : startedBy;
    const pending = testimony.pending.filter((witness) => witness !== named);
    const leasesEndAt = Math.max(testimony.leasesEndAt, lastVouchedBy + vouchMs + MAX_LEASE_MS);
    return {
      ...leader,
      testimony: { pending, leasesEndAt },
      leasesEndAt: pending.length === 0 ? Math.min(leader.leasesEndAt, leasesEndAt) : leader.leasesEndAt,
    };
  }

  /**
   * Records the extended leases that a leader record names. A claim lacks those that the leader before it has named since, unless this process has read
   * that leader's records up to the claim.
   */
  private recordExtendedLeases(
    { epoch, previous, extendedLeases, unnamedLeasesMs = 0 }: LeaderRecord,
    now: number,
  ): void {
    this.extendedLeases.removeExpiredLeases(now);
    const hasReadPrevious = (this.newestLeader?.epoch ?? 0) >= epoch - 1;
    if (extendedLeases === undefined || (previous !== undefined && !hasReadPrevious)) {
      this.recordUnnamedLeases(now);
    } else if (previous === undefined) {
      this.extendedLeases.setUnnamedUntil(unnamedLeasesMs > 0 ? now + unnamedLeasesMs : -Infinity);
    }
    for (const { endpoint, remainingMs } of extendedLeases ?? []) {
      this.extendedLeases.recordLease(endpoint, now + remainingMs);
    }
  }

  private recordUnnamedLeases(now: number): void {
    this.extendedLeases.recordUnnamedLeases(now + computeMaxLeaseMs(this.longestLeaseMs));
  }

  private listLeadersBefore({ epoch, previous }: LeaderRecord, now: number): readonly EarlierLeader[] {
    const { newestLeader } = this;
    const knownEpoch = newestLeader?.epoch ?? 0;
    const leasesEndAt = now + MAX_LEASE_MS + unconfirmedGraceMs;
    const unread: readonly EarlierLeader[] = [
      {
        epoch: epoch - 1,
        box: previous?.box,
        address: previous?.address,
        process: previous?.process,
        leasesEndAt,
      },
      { epoch: epoch - 2, box: undefined, process: undefined, leasesEndAt },
    ];
    return [
      ...this.earlierLeaders.filter((leader) => leader.leasesEndAt > now),
      ...(newestLeader === undefined ? [] : [this.createEarlierLeader(newestLeader)]),
      ...unread.filter((leader) => leader.epoch > knownEpoch),
    ];
  }

  /** Lowers the bounds of the earlier leaders that a condition selects. */
  private setLatestEnd(leasesEndAt: number, isSelected: (leader: EarlierLeader) => boolean): void {
    this.earlierLeaders = this.earlierLeaders.map((leader) =>
      isSelected(leader) ? { ...leader, leasesEndAt: Math.min(leader.leasesEndAt, leasesEndAt) } : leader,
    );
  }

  private createEarlierLeader({ epoch, box, address, process, witnesses }: LeaderRecord): EarlierLeader {
    return {
      epoch,
      box,
      address,
      process,
      leasesEndAt: this.computeLeasesEndAt(unconfirmedGraceMs),
      testimony: witnesses && {
        pending: witnesses,
        leasesEndAt: this.computeLeasesEndAt(briefGraceMs),
      },
    };
  }

  /** Computes when leases of the newest leader have expired that it renewed within `graceMs` of its last activity. */
  private computeLeasesEndAt(graceMs: number): number {
    const lastRenewalAt = this.leaderActiveAt + (this.hasLeaderStopped ? 0 : graceMs);
    return Math.min(lastRenewalAt, this.leaderEndedAt) + MAX_LEASE_MS;
  }
}
