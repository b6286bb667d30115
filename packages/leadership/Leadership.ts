import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { formatIssues } from '../common/formatIssues';
import { parseJson } from '../common/parseJson';
import type { Random } from '../common/Random';
import type { LogClient } from '../store/LogClient';
import type { LogFollower } from '../store/LogFollower';
import type { LogRecord } from '../store/LogRecord';
import type { BoxProcess } from './BoxProcess';
import type { LeaderRecord } from './LeaderRecord';
import type { ExtendedLease } from './ExtendedLease';
import type { ExtendedLeases } from './ExtendedLeases';
import { LeaderVoucher } from './LeaderVoucher';
import { LeaseHistory } from './LeaseHistory';
import type { LeaseWitness } from './LeaseWitness';
import { leaderKeys } from './leaderKeys';
import { leaderRecordSchema } from './leaderRecordSchema';
import { leaderTimings } from './leaderTimings';
import type { WitnessReport } from './WitnessReport';

interface LeadershipOptions {
  readonly client: LogClient;
  readonly topic: string;
  readonly follower: LogFollower;
  readonly box: string;
  /** Address of this box for other boxes. */
  readonly address: string;
  readonly process: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Longest lease that an endpoint accepts, in milliseconds. */
  readonly longestLeaseMs: number;
  /** Returns true when stronger boxes are known, which should lead instead of this one. */
  readonly isOutranked: () => boolean;
  /** Returns true when this process knows the jobs, without which it could not take over. */
  readonly isReadyToLead: () => boolean;
  /** Called when this process becomes the leader. */
  readonly handleElected: (election: Election) => void;
}

/** Result of an election that this process has won. Times are monotonic. */
interface Election {
  readonly epoch: number;
  /** Time at which the claim was sent. */
  readonly claimedAt: number;
  /** Time at which all leases of earlier leaders have expired. */
  readonly earlierLeasesEndAt: number;
  /** Extended leases that earlier leaders have named, to which the leader adds those that it finds. */
  readonly extendedLeases: ExtendedLeases;
}

const CLAIM_TIMEOUT_MS = 700;
const FIRST_CLAIM_JITTER_MS = 150;
const RESIGNED_CLAIM_JITTER_MS = 80;
const ENDED_CLAIM_JITTER_MS = 250;
/** Additional delay of claims after a leader has resigned in favour of another box, so that this claims first. */
const SUCCESSOR_HEAD_START_MS = 400;
/** Additional delay of claims by a box that knows stronger boxes, so that these claim first. */
const OUTRANKED_CLAIM_DELAY_MS = 350;
/**
 * Additional delay of claims by such a box after a heartbeat timeout, which the stronger boxes may notice later by a read cycle: boxes read up to
 * 850 ms apart.
 */
const OUTRANKED_TIMEOUT_DELAY_MS = 900;

type ClaimReason =
  | 'the leader handed over'
  | 'the leader process has ended'
  | 'no leader yet'
  | 'leader resigned'
  | 'an earlier process of this box led'
  | 'leader is silent';

/**
 * Leader election through the log. A claim is an append under the next epoch: the log rejects later writes of lower epochs, and keeps
 * only the first of several claims of an epoch. The process that reads its own claim back leads.
 */
export class Leadership {
  private leaderRecord: LeaderRecord | undefined;
  /** Monotonic time of the last activity of the leader. */
  private leaderActiveAt = -Infinity;
  /** Monotonic time since which the log has been readable; undefined while it is not. */
  private logReadableSince: number | undefined;
  private isClaiming = false;
  private isLeading = false;
  private isStopped = false;
  /** Epoch of a leader that has handed over or whose process has ended. */
  private endedLeaderEpoch: number | undefined;
  private endedClaimReason: ClaimReason = 'the leader handed over';
  /** Monotonic time at which this process noticed that the process of the leader had ended. */
  private leaderEndNoticedAt = -Infinity;
  private readonly leaseHistory: LeaseHistory;
  private readonly voucher: LeaderVoucher;
  /** Monotonic time at which a read first showed the heartbeat timeout of the leader; undefined without a timeout. */
  private timeoutSeenAt: number | undefined;
  /** Address of the box that is asked to lead after this process. */
  private successor: string | undefined;
  /** Random number from 0 to 1, fixed for this process, that scales the delays of its claims. */
  private readonly claimJitter: number;

  /** This process, from its first read of a leader record on; earlier ones of its box have ended. */
  private ownProcess: BoxProcess | undefined;

  constructor(private readonly options: LeadershipOptions) {
    this.claimJitter = options.random();
    this.leaseHistory = new LeaseHistory(options.longestLeaseMs);
    this.voucher = new LeaderVoucher({
      clock: options.clock,
      getNewestEpoch: () => this.leaderRecord?.epoch,
    });
  }

  getLeaderRecord(): LeaderRecord | undefined {
    return this.leaderRecord;
  }

  /**
   * Folds records of the states' topic. Every record counts as activity of the leader, as only leaders write there. A leader record replaces
   * the known one unless its epoch is lower.
   */
  foldRecords(records: readonly LogRecord[]): void {
    const now = this.options.clock.getNow();
    this.leaderActiveAt = now;
    for (const { key, value } of records) {
      if (key !== leaderKeys.recordKey) {
        this.leaseHistory.recordActivity(now);
        continue;
      }
      const parsed = leaderRecordSchema.safeParse(parseJson(value));
      const epoch = this.leaderRecord?.epoch ?? 0;
      if (!parsed.success) {
        this.options.logger.warn('Invalid leader record is ignored.', { reason: formatIssues(parsed.error) });
      } else if (parsed.data.epoch >= epoch) {
        if (parsed.data.epoch > epoch && this.logReadableSince === undefined) {
          // A topic that is read anew shows only the newest record of each key.
          this.leaseHistory.recordMissedWrites(now);
        }
        this.recordLeader(parsed.data, now);
      }
    }
  }

  /**
   * Handles the announcement of a leader, whose record this process may not have read from the log yet. Counts as activity of the leader.
   * Returns false, without effect, when the announced epoch is not newer than the known one.
   */
  handleAnnouncement(record: LeaderRecord): boolean {
    if (record.epoch <= (this.leaderRecord?.epoch ?? 0)) {
      return false;
    }
    const now = this.options.clock.getNow();
    this.leaderActiveAt = now;
    this.leaseHistory.recordMissedWrites(now);
    this.recordLeader(record, now);
    return true;
  }

  /**
   * Handles the request to take over from the leader of an epoch, which has stopped: claims leadership at once if that epoch is the newest
   * known.
   */
  handleHandover(epoch: number): void {
    this.leaseHistory.recordLeaderStopped(epoch, this.options.clock.getNow());
    this.endedLeaderEpoch = epoch;
    this.endedClaimReason = 'the leader handed over';
    this.handleTick();
  }

  /** Handles the probable end of a process. If the leader runs in that process, `handleTick` claims leadership after a random delay. */
  handleLeaderEnded(process: string): void {
    if (this.leaderRecord?.process === process) {
      this.leaderEndNoticedAt =
        this.endedLeaderEpoch === this.leaderRecord.epoch
          ? this.leaderEndNoticedAt
          : this.options.clock.getNow();
      this.endedLeaderEpoch = this.leaderRecord.epoch;
      this.endedClaimReason = 'the leader process has ended';
    }
  }

  /** Handles the loss or recovery of read access to the log. Heartbeat timeouts count only while the log is readable. */
  handleLogConnection(isConnected: boolean): void {
    this.logReadableSince = isConnected ? this.options.clock.getNow() : undefined;
  }

  /** Starts a claim when there is a reason for one, unless this process leads, is claiming or has stopped. */
  handleTick(): void {
    if (this.isStopped || this.isLeading || this.isClaiming) {
      return;
    }
    const reason = this.findClaimReason();
    if (reason !== undefined) {
      this.isClaiming = true;
      void this.sendClaim(reason).finally(() => {
        this.isClaiming = false;
      });
    }
  }

  /** Handles that this process no longer leads. Counts as activity of the leader, so that this process does not claim again at once. */
  handleLeadershipLost(): void {
    this.isLeading = false;
    this.leaderActiveAt = this.options.clock.getNow();
    this.leaseHistory.recordActivity(this.leaderActiveAt);
  }

  /** Sets the address of the box that is asked to lead after this process, for the record of its resignation. */
  setSuccessor(address: string | undefined): void {
    this.successor = address;
  }

  /** Stops the start of further claims, and ignores the result of a pending one. */
  stop(): void {
    this.isStopped = true;
  }

  /** Returns the part of this process that vouches for leaders of other boxes. */
  getVoucher(): LeaderVoucher {
    return this.voucher;
  }

  /**
   * Formats the leader record of this process, which serves as heartbeat, and with `isResigned` as the last write of a graceful stop. Names the
   * witnesses, if any, and the extended leases.
   */
  formatLeaderRecord(
    epoch: number,
    isResigned: boolean,
    witnesses: readonly LeaseWitness[] | undefined,
    extendedLeases: readonly ExtendedLease[],
  ): string {
    const { box, address, process, clock } = this.options;
    const earlierLeasesMs = Math.max(0, Math.ceil(this.getEarlierLeasesEndAt() - clock.getNow()));
    const successor = isResigned && this.successor !== undefined ? { successor: this.successor } : {};
    const record: LeaderRecord = {
      epoch,
      box,
      address,
      process,
      isResigned,
      ...successor,
      witnesses,
      extendedLeases,
      unnamedLeasesMs: this.computeUnnamedLeasesMs(),
    };
    return JSON.stringify(this.leaderRecord?.epoch === epoch ? { ...record, earlierLeasesMs } : record);
  }

  /** Formats a claim. It cannot say when leases of the present leader end, which may still renew them until the claim is written. */
  private formatClaim(epoch: number): string {
    const { box, address, process, clock } = this.options;
    const { leaderRecord } = this;
    const earlierLeasesMs = Math.max(0, Math.ceil(this.getEarlierLeasesEndAt() - clock.getNow()));
    const previous = leaderRecord && {
      box: leaderRecord.box,
      address: leaderRecord.address,
      process: leaderRecord.process,
    };
    const record: LeaderRecord = {
      epoch,
      box,
      address,
      process,
      isResigned: false,
      earlierLeasesMs,
      extendedLeases: this.leaseHistory.getExtendedLeases().listActiveLeases(clock.getNow()),
      unnamedLeasesMs: this.computeUnnamedLeasesMs(),
      previous,
    };
    return JSON.stringify(record);
  }

  /** Returns the time in which endpoints that no record has named may have an extended lease, in milliseconds; undefined without any. */
  private computeUnnamedLeasesMs(): number | undefined {
    const { leaseHistory, options } = this;
    const unnamedMs = leaseHistory.getExtendedLeases().computeUnnamedMs(options.clock.getNow());
    return unnamedMs === 0 ? undefined : unnamedMs;
  }

  /** Returns the monotonic time at which all leases of the leaders before the newest one have expired. */
  getEarlierLeasesEndAt(): number {
    return this.leaseHistory.getEarlierLeasesEndAt();
  }

  /** Returns whether the box may say when leases of an earlier leader have expired, since that ran in it or named it as a witness. */
  isResponseAwaited(box: string): boolean {
    return this.leaseHistory.isResponseAwaited(box, this.options.clock.getNow());
  }

  /**
   * Handles the response of a process of another box to an announcement of this leader's epoch: leaders of earlier epochs in other processes
   * of that box, at the same address, have ended, and the process vouches for none of them any more.
   */
  handleBoxProcess(report: WitnessReport, announcedEpoch: number): void {
    this.leaseHistory.recordBoxProcess(report, announcedEpoch - 1);
    this.leaseHistory.recordWitness(report, announcedEpoch - 1);
  }

  /**
   * Sets the leader record and records it for the leases. An earlier process of this box at its address has ended, and this one vouches for no earlier
   * leader any more.
   */
  private recordLeader(record: LeaderRecord, now: number): void {
    this.leaseHistory.recordLeader(record, now);
    const { box, address, process } = this.options;
    this.ownProcess ??= { box, address, process, startedBy: now };
    this.leaseHistory.recordBoxProcess(this.ownProcess, record.epoch);
    const report = { ...this.ownProcess, vouchedBy: this.voucher.getVouchedAt() };
    this.leaseHistory.recordWitness(report, record.epoch - 1);
    this.setLeaderRecord(record);
  }

  /** Returns whether the leader ran in an earlier process of this box, and at its address if that is known. */
  private isEarlierProcess({ box, address, process }: LeaderRecord): boolean {
    const { options } = this;
    const hasSameAddress = address === undefined || address === options.address;
    return box === options.box && hasSameAddress && process !== options.process;
  }

  private setLeaderRecord(record: LeaderRecord): void {
    const isNew = record.epoch !== this.leaderRecord?.epoch;
    this.leaderRecord = record;
    if (isNew) {
      this.options.logger.info('Leader changed.', { epoch: record.epoch, leader: record.process });
    }
  }

  /** Returns why this process should claim leadership now; undefined when this process should not, or when it has not read the log up to its end. */
  private findClaimReason(): ClaimReason | undefined {
    const { follower, clock, isReadyToLead } = this.options;
    if (this.logReadableSince === undefined || !follower.isUpToDate() || !isReadyToLead()) {
      return undefined;
    }
    const now = clock.getNow();
    const rankDelayMs = this.options.isOutranked() ? OUTRANKED_CLAIM_DELAY_MS : 0;
    const inactiveMs = now - this.leaderActiveAt;
    if (this.leaderRecord === undefined) {
      const readableMs = now - this.logReadableSince;
      return readableMs > this.claimJitter * FIRST_CLAIM_JITTER_MS + rankDelayMs
        ? 'no leader yet'
        : undefined;
    }
    if (this.endedLeaderEpoch === this.leaderRecord.epoch) {
      if (this.endedClaimReason === 'the leader handed over') {
        return this.endedClaimReason;
      }
      // All boxes notice the end at the same time: a random delay from then on keeps their claims apart, and lets stronger boxes claim
      // first. The last activity may be older and is no base for the delay.
      const elapsedMs = now - Math.max(this.leaderEndNoticedAt, this.leaderActiveAt);
      return elapsedMs > this.claimJitter * ENDED_CLAIM_JITTER_MS + rankDelayMs
        ? this.endedClaimReason
        : undefined;
    }
    if (this.leaderRecord.isResigned) {
      return inactiveMs > this.computeResignedDelayMs(this.leaderRecord, rankDelayMs)
        ? 'leader resigned'
        : undefined;
    }
    if (this.isEarlierProcess(this.leaderRecord)) {
      return 'an earlier process of this box led';
    }
    const confirmedInactiveMs =
      follower.getLastSuccessAt() - Math.max(this.leaderActiveAt, this.logReadableSince);
    if (confirmedInactiveMs <= leaderTimings.heartbeatTimeoutMs) {
      this.timeoutSeenAt = undefined;
      return undefined;
    }
    // The delay counts from the read that showed the timeout. All boxes read at the same moments: delays from the last activity on would
    // all be over by the next read, and a weaker box could claim first.
    this.timeoutSeenAt ??= now;
    const elapsedMs = now - this.timeoutSeenAt;
    const timeoutRankDelayMs = rankDelayMs === 0 ? 0 : OUTRANKED_TIMEOUT_DELAY_MS;
    const dueMs = this.claimJitter * leaderTimings.claimJitterMs + timeoutRankDelayMs;
    return elapsedMs >= dueMs ? 'leader is silent' : undefined;
  }

  /** Returns the delay of a claim after the leader has resigned, in milliseconds; 0 for the box in whose favour it has. */
  private computeResignedDelayMs({ successor }: LeaderRecord, rankDelayMs: number): number {
    if (successor === this.options.address) {
      return 0;
    }
    const headStartMs = successor === undefined ? 0 : SUCCESSOR_HEAD_START_MS;
    return this.claimJitter * RESIGNED_CLAIM_JITTER_MS + rankDelayMs + headStartMs;
  }

  /** Returns true if the last activity of the leader is later than the monotonic time `after` and at most `withinMs` milliseconds ago. */
  hasLeaderActivitySince(after: number, withinMs: number): boolean {
    return this.leaderActiveAt > after && this.options.clock.getNow() - this.leaderActiveAt <= withinMs;
  }

  /** Appends a claim of the next epoch, and leads if its record is read back as the newest. */
  private async sendClaim(reason: ClaimReason): Promise<void> {
    const { client, topic, follower, logger, clock } = this.options;
    const epoch = (this.leaderRecord?.epoch ?? 0) + 1;
    logger.info('Claiming leadership.', {
      epoch,
      reason,
      silentMs: Math.round(clock.getNow() - this.leaderActiveAt),
    });
    const claimedAt = clock.getNow();
    const response = await client.append({
      topic,
      writes: [{ key: leaderKeys.recordKey, value: this.formatClaim(epoch) }],
      writer: { producer: leaderKeys.producer, epoch, sequence: leaderKeys.claimSequence },
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    // Without a response the claim may still have been written: the next records show it.
    const target = response.ok ? response.value + 1 : (follower.getOffset() ?? 0) + 1;
    await follower.waitForOffset(target, CLAIM_TIMEOUT_MS);
    if (
      this.isStopped ||
      this.leaderRecord?.epoch !== epoch ||
      this.leaderRecord.process !== this.options.process
    ) {
      logger.info('Claim lost.', { epoch, leader: this.leaderRecord?.process ?? '' });
      return;
    }
    this.isLeading = true;
    const earlierLeasesEndAt = this.getEarlierLeasesEndAt();
    const now = clock.getNow();
    logger.info('Claim won.', {
      epoch,
      claimMs: Math.round(now - claimedAt),
      earlierLeasesMs: Math.max(0, Math.round(earlierLeasesEndAt - now)),
      extendedLeases: this.leaseHistory.getExtendedLeases().listActiveLeases(now).length,
      unnamedLeasesMs: this.computeUnnamedLeasesMs() ?? 0,
    });
    const extendedLeases = this.leaseHistory.getExtendedLeases();
    this.options.handleElected({ epoch, claimedAt, earlierLeasesEndAt, extendedLeases });
  }
}
