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
  /** True when boxes are known that should lead rather than this one. */
  readonly isOutranked: () => boolean;
  /** Called once this process leads. */
  readonly handleElected: (election: Election) => void;
}

/** What a process that has come to lead must know. Times are monotonic. */
interface Election {
  readonly epoch: number;
  /** When the claim was sent that won. */
  readonly claimedAt: number;
  /** When all that earlier leaders leased has ended, on endpoints that were not heard since. */
  readonly earlierLeasesEndAt: number;
}

const CLAIM_TIMEOUT_MS = 700;
const FIRST_CLAIM_JITTER_MS = 150;
const RESIGNED_JITTER_MS = 80;
const ENDED_JITTER_MS = 250;
/** A box that knows of stronger ones leaves them so long to claim first. */
const OUTRANKED_WAIT_MS = 350;
/**
 * The same behind a silent leader: boxes read up to 850 ms apart, so that a strong one may see the silence so much later. A box of 0.324
 * cores took 2.3 s from its claim to its first order, a strong one 0.3 s (245 endpoints).
 */
const OUTRANKED_SILENT_WAIT_MS = 900;

type ClaimReason =
  | 'the leader handed over'
  | 'the leader process has ended'
  | 'no leader yet'
  | 'leader resigned'
  | 'an earlier process of this box led'
  | 'leader is silent';

/**
 * Decides which process leads. A claim is an append under the next epoch: the log refuses every later write of lower epochs,
 * and of two claims with one epoch it keeps the first. Whoever reads its own claim back leads.
 */
export class Leadership {
  private record: LeaderRecord | undefined;
  /** Monotonic time of the newest sign of the leader. */
  private signAt = -Infinity;
  /** Since when the log has been read without a gap; undefined while it cannot be read. */
  private readableSince: number | undefined;
  private isClaiming = false;
  private isLeading = false;
  private isStopped = false;
  /** Epoch whose leader has said, or shown, that it gives no more orders. */
  private endedEpoch: number | undefined;
  private endedReason: ClaimReason = 'the leader handed over';
  /** Monotonic time at which this process noticed that. */
  private endedAt = -Infinity;
  private readonly leases = new LeaseHistory();
  /** Monotonic time at which reads first showed the leader silent; undefined while they do not. */
  private silenceSeenAt: number | undefined;
  private readonly shortJitter: number;

  constructor(private readonly options: LeadershipOptions) {
    this.shortJitter = options.random();
  }

  getRecord(): LeaderRecord | undefined {
    return this.record;
  }

  /** Folds records of the progress topic. Only leaders write there, so every record is a sign of the leader. */
  foldRecords(records: readonly LogRecord[]): void {
    const now = this.options.clock.readNow();
    this.signAt = now;
    for (const { key, value } of records) {
      if (key !== leaderKeys.recordKey) {
        this.leases.recordActivity(now);
        continue;
      }
      const parsed = leaderRecordSchema.safeParse(parseJson(value));
      if (parsed.success && parsed.data.epoch >= (this.record?.epoch ?? 0)) {
        this.leases.recordLeader(parsed.data, now);
        this.applyRecord(parsed.data);
      }
    }
  }

  /**
   * A leader has told by a call that it leads. The epoch of a record that this process has not read yet shows that the log has it. Returns
   * false for one that is not newer than what is known.
   */
  handleIntroduction(record: LeaderRecord): boolean {
    if (record.epoch <= (this.record?.epoch ?? 0)) {
      return false;
    }
    const now = this.options.clock.readNow();
    this.signAt = now;
    this.leases.recordLeader(record, now);
    this.applyRecord(record);
    return true;
  }

  /** The leader of an epoch has stopped and asked this process to lead next. */
  handleHandOver(epoch: number): void {
    this.leases.recordStopped(epoch, this.options.clock.readNow());
    this.endedEpoch = epoch;
    this.endedReason = 'the leader handed over';
    this.applyTime();
  }

  /** The process that leads seems to have ended. */
  handleLeaderEnded(process: string): void {
    if (this.record?.process === process) {
      this.endedAt = this.endedEpoch === this.record.epoch ? this.endedAt : this.options.clock.readNow();
      this.endedEpoch = this.record.epoch;
      this.endedReason = 'the leader process has ended';
    }
  }

  /** Told when the log can be read again, or no longer: silence is counted only while it can. */
  handleConnection(isConnected: boolean): void {
    this.readableSince = isConnected ? this.options.clock.readNow() : undefined;
  }

  /** Claims when the leader is gone. */
  applyTime(): void {
    if (this.isStopped || this.isLeading || this.isClaiming) {
      return;
    }
    const reason = this.readClaimReason();
    if (reason !== undefined) {
      this.isClaiming = true;
      void this.sendClaim(reason).finally(() => {
        this.isClaiming = false;
      });
    }
  }

  /** This process leads no more. */
  handleDeposed(): void {
    this.isLeading = false;
    this.signAt = this.options.clock.readNow();
    this.leases.recordActivity(this.signAt);
  }

  /** Claims no more. */
  stop(): void {
    this.isStopped = true;
  }

  /** Formats this process's record: written as a heartbeat, and with `isResigned` as the last write of a planned stop. */
  formatRecord(epoch: number, isResigned: boolean): string {
    const { box, process } = this.options;
    const record: LeaderRecord = { epoch, box, process, isResigned };
    return JSON.stringify(record);
  }

  private applyRecord(record: LeaderRecord): void {
    const isNew = record.epoch !== this.record?.epoch;
    this.record = record;
    if (isNew) {
      this.options.logger.info('Leader changed.', { epoch: record.epoch, leader: record.process });
    }
  }

  private readClaimReason(): ClaimReason | undefined {
    const { follower, clock, process, box } = this.options;
    if (this.readableSince === undefined || !follower.isFollowing()) {
      return undefined;
    }
    const now = clock.readNow();
    const patienceMs = this.options.isOutranked() ? OUTRANKED_WAIT_MS : 0;
    const signAgeMs = now - this.signAt;
    if (this.record === undefined) {
      const readableMs = now - this.readableSince;
      return readableMs > this.shortJitter * FIRST_CLAIM_JITTER_MS + patienceMs ? 'no leader yet' : undefined;
    }
    if (this.endedEpoch === this.record.epoch) {
      if (this.endedReason === 'the leader handed over') {
        return this.endedReason;
      }
      // Those who see the process end see it together: a short random wait keeps their claims apart, and weak boxes behind strong
      // ones. It counts from the end, since the last sign may be older: of 97 boxes 16 claimed within 12 ms, and a weak one led.
      const waitedMs = now - Math.max(this.endedAt, this.signAt);
      return waitedMs > this.shortJitter * ENDED_JITTER_MS + patienceMs ? this.endedReason : undefined;
    }
    if (this.record.isResigned) {
      return signAgeMs > this.shortJitter * RESIGNED_JITTER_MS + patienceMs ? 'leader resigned' : undefined;
    }
    if (this.record.box === box && this.record.process !== process) {
      return 'an earlier process of this box led';
    }
    const silentMs = follower.getLastSuccessAt() - Math.max(this.signAt, this.readableSince);
    if (silentMs <= leaderTimings.silenceMs) {
      this.silenceSeenAt = undefined;
      return undefined;
    }
    // The waits count from the read that showed it. All boxes read at the same moments, 850 ms apart: waits that counted from the last
    // sign were over together, and of many claims at once that of a weak box might win.
    this.silenceSeenAt ??= now;
    const waitedMs = now - this.silenceSeenAt;
    const silentPatienceMs = patienceMs === 0 ? 0 : OUTRANKED_SILENT_WAIT_MS;
    const dueMs = this.shortJitter * leaderTimings.claimJitterMs + silentPatienceMs;
    return waitedMs >= dueMs ? 'leader is silent' : undefined;
  }

  /** True while the leader has shown a sign within a time, and after a moment. Both are monotonic milliseconds. */
  hasActivitySince(after: number, withinMs: number): boolean {
    return this.signAt > after && this.options.clock.readNow() - this.signAt <= withinMs;
  }

  private async sendClaim(reason: ClaimReason): Promise<void> {
    const { client, topic, follower, logger, clock } = this.options;
    const epoch = (this.record?.epoch ?? 0) + 1;
    logger.info('Claiming leadership.', {
      epoch,
      reason,
      silentMs: Math.round(clock.readNow() - this.signAt),
    });
    const claimedAt = clock.readNow();
    const answer = await client.append({
      topic,
      writes: [{ key: leaderKeys.recordKey, value: this.formatRecord(epoch, false) }],
      writer: { producer: leaderKeys.producer, epoch, sequence: leaderKeys.claimSequence },
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    // Without an answer the claim may still have landed: reading on shows it.
    const target = answer.ok ? answer.value + 1 : (follower.getOffset() ?? 0) + 1;
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
