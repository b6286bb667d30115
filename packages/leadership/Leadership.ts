import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { parseJson } from '../common/parseJson';
import type { Random } from '../common/Random';
import type { LogClient } from '../store/LogClient';
import type { LogFollower } from '../store/LogFollower';
import type { LogRecord } from '../store/LogRecord';
import type { LeaderRecord } from './LeaderRecord';
import { LeaseHistory } from './LeaseHistory';
import { leaderKeys } from './leaderKeys';
import { leaderRecordSchema } from './leaderRecordSchema';
import { leaderTimings } from './leaderTimings';

interface LeadershipOptions {
  readonly client: LogClient;
  readonly topic: string;
  readonly follower: LogFollower;
  readonly box: string;
  readonly process: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Returns true when stronger boxes are known, which should lead instead of this one. */
  readonly isOutranked: () => boolean;
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
}

const CLAIM_TIMEOUT_MS = 700;
const FIRST_CLAIM_JITTER_MS = 150;
const RESIGNED_JITTER_MS = 80;
const ENDED_JITTER_MS = 250;
/** Delay of claims by a box that knows stronger ones, which lets these claim first. */
const OUTRANKED_DELAY_MS = 350;
/** The same after a missing heartbeat, which a stronger box may notice later by a read cycle. */
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
  private record: LeaderRecord | undefined;
  /** Monotonic time of the last activity of the leader. */
  private activeAt = -Infinity;
  /** Monotonic time since which the log has been readable; undefined while it is not. */
  private readableSince: number | undefined;
  private isClaiming = false;
  private isLeading = false;
  private isStopped = false;
  /** Epoch of a leader that has handed over or whose process has ended. */
  private endedEpoch: number | undefined;
  private endedReason: ClaimReason = 'the leader handed over';
  /** Monotonic time at which this process noticed the end. */
  private endedAt = -Infinity;
  private readonly leases = new LeaseHistory();
  /** Monotonic time at which a read first showed the heartbeat timeout of the leader; undefined without a timeout. */
  private timeoutSeenAt: number | undefined;
  private readonly jitter: number;

  constructor(private readonly options: LeadershipOptions) {
    this.jitter = options.random();
  }

  getRecord(): LeaderRecord | undefined {
    return this.record;
  }

  /** Folds records of the states' topic. Only leaders write to it, so that each record shows activity of the leader. */
  foldRecords(records: readonly LogRecord[]): void {
    const now = this.options.clock.getNow();
    this.activeAt = now;
    for (const { key, value } of records) {
      if (key !== leaderKeys.recordKey) {
        this.leases.recordActivity(now);
        continue;
      }
      const parsed = leaderRecordSchema.safeParse(parseJson(value));
      if (parsed.success && parsed.data.epoch >= (this.record?.epoch ?? 0)) {
        this.leases.recordLeader(parsed.data, now);
        this.setRecord(parsed.data);
      }
    }
  }

  /**
   * Handles the announcement of a leader, whose record this process may not have read from the log yet. Returns false when its epoch is
   * not newer than the known one.
   */
  handleAnnouncement(record: LeaderRecord): boolean {
    if (record.epoch <= (this.record?.epoch ?? 0)) {
      return false;
    }
    const now = this.options.clock.getNow();
    this.activeAt = now;
    this.leases.recordLeader(record, now);
    this.setRecord(record);
    return true;
  }

  /** Handles the request to take over from a leader that has stopped. */
  handleHandover(epoch: number): void {
    this.leases.recordStopped(epoch, this.options.clock.getNow());
    this.endedEpoch = epoch;
    this.endedReason = 'the leader handed over';
    this.handleTick();
  }

  /** Handles the probable end of the process of the leader. */
  handleLeaderEnded(process: string): void {
    if (this.record?.process === process) {
      this.endedAt = this.endedEpoch === this.record.epoch ? this.endedAt : this.options.clock.getNow();
      this.endedEpoch = this.record.epoch;
      this.endedReason = 'the leader process has ended';
    }
  }

  /** Handles the loss or recovery of read access to the log. Heartbeat timeouts count only while the log is readable. */
  handleConnection(isConnected: boolean): void {
    this.readableSince = isConnected ? this.options.clock.getNow() : undefined;
  }

  /** Claims leadership if there is no leader. */
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

  /** Handles that this process no longer leads. */
  handleLeadershipLost(): void {
    this.isLeading = false;
    this.activeAt = this.options.clock.getNow();
    this.leases.recordActivity(this.activeAt);
  }

  /** Stops claiming. */
  stop(): void {
    this.isStopped = true;
  }

  /** Formats the leader record of this process, which serves as heartbeat, and with `isResigned` as the last write of a graceful stop. */
  formatRecord(epoch: number, isResigned: boolean): string {
    const { box, process } = this.options;
    const record: LeaderRecord = { epoch, box, process, isResigned };
    return JSON.stringify(record);
  }

  private setRecord(record: LeaderRecord): void {
    const isNew = record.epoch !== this.record?.epoch;
    this.record = record;
    if (isNew) {
      this.options.logger.info('Leader changed.', { epoch: record.epoch, leader: record.process });
    }
  }

  private findClaimReason(): ClaimReason | undefined {
    const { follower, clock, process, box } = this.options;
    if (this.readableSince === undefined || !follower.isFollowing()) {
      return undefined;
    }
    const now = clock.getNow();
    const rankDelayMs = this.options.isOutranked() ? OUTRANKED_DELAY_MS : 0;
    const inactiveMs = now - this.activeAt;
    if (this.record === undefined) {
      const readableMs = now - this.readableSince;
      return readableMs > this.jitter * FIRST_CLAIM_JITTER_MS + rankDelayMs ? 'no leader yet' : undefined;
    }
    if (this.endedEpoch === this.record.epoch) {
      if (this.endedReason === 'the leader handed over') {
        return this.endedReason;
      }
      // All boxes notice the end at the same time: a random delay from then on keeps their claims apart, and lets stronger boxes claim
      // first. The last activity may be older and is no base for the delay.
      const elapsedMs = now - Math.max(this.endedAt, this.activeAt);
      return elapsedMs > this.jitter * ENDED_JITTER_MS + rankDelayMs ? this.endedReason : undefined;
    }
    if (this.record.isResigned) {
      return inactiveMs > this.jitter * RESIGNED_JITTER_MS + rankDelayMs ? 'leader resigned' : undefined;
    }
    if (this.record.box === box && this.record.process !== process) {
      return 'an earlier process of this box led';
    }
    const confirmedInactiveMs = follower.getLastSuccessAt() - Math.max(this.activeAt, this.readableSince);
    if (confirmedInactiveMs <= leaderTimings.heartbeatTimeoutMs) {
      this.timeoutSeenAt = undefined;
      return undefined;
    }
    // The delay counts from the read that showed the timeout. All boxes read at the same moments: delays from the last activity on would
    // all be over by the next read, and a weaker box could claim first.
    this.timeoutSeenAt ??= now;
    const elapsedMs = now - this.timeoutSeenAt;
    const timeoutRankDelayMs = rankDelayMs === 0 ? 0 : OUTRANKED_TIMEOUT_DELAY_MS;
    const dueMs = this.jitter * leaderTimings.claimJitterMs + timeoutRankDelayMs;
    return elapsedMs >= dueMs ? 'leader is silent' : undefined;
  }

  /** Returns true if the leader was active within a time in milliseconds, and after a monotonic time. */
  hasActivitySince(after: number, withinMs: number): boolean {
    return this.activeAt > after && this.options.clock.getNow() - this.activeAt <= withinMs;
  }

  private async sendClaim(reason: ClaimReason): Promise<void> {
    const { client, topic, follower, logger, clock } = this.options;
    const epoch = (this.record?.epoch ?? 0) + 1;
    logger.info('Claiming leadership.', {
      epoch,
      reason,
      silentMs: Math.round(clock.getNow() - this.activeAt),
    });
    const claimedAt = clock.getNow();
    const response = await client.append({
      topic,
      writes: [{ key: leaderKeys.recordKey, value: this.formatRecord(epoch, false) }],
      writer: { producer: leaderKeys.producer, epoch, sequence: leaderKeys.claimSequence },
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    // Without a response the claim may still have been written: the next records show it.
    const target = response.ok ? response.value + 1 : (follower.getOffset() ?? 0) + 1;
    await follower.waitForOffset(target, CLAIM_TIMEOUT_MS);
    if (this.isStopped || this.record?.epoch !== epoch || this.record.process !== this.options.process) {
      logger.info('Claim lost.', { epoch, leader: this.record?.process ?? '' });
      return;
    }
    this.isLeading = true;
    this.options.handleElected({
      epoch,
      claimedAt,
      earlierLeasesEndAt: this.leases.getEarlierEndAt(),
    });
  }
}
