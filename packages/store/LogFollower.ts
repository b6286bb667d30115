import { Backoff } from '../common/Backoff';
import type { Clock } from '../common/Clock';
import type { Random } from '../common/Random';
import { startDelay } from '../common/startDelay';
import type { LogClient } from './LogClient';
import type { LogError } from './LogError';
import type { LogRecord } from './LogRecord';

interface LogFollowerOptions {
  readonly client: LogClient;
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Pause between reads, so that a busy topic costs few calls. */
  readonly pauseMs: number;
  /** How long a read waits for a record. Short ones notice silence sooner. */
  readonly pollMs: number;
  /** Takes records in order. After a gap in the log's history the newest of each key come again, so it must be idempotent. */
  readonly handleRecords: (records: readonly LogRecord[]) => void;
  /** Told when the topic can be read again, or no longer. */
  readonly handleConnection?: (isConnected: boolean, detail: string) => void;
}

interface RefreshWaiter {
  readonly resolve: (isFresh: boolean) => void;
  /** The first read that starts after this time answers the waiter. */
  readonly askedAt: number;
}

/** Time for an answer beyond the wait that was asked for. */
const CALL_TIMEOUT_MS = 1500;
const BACKOFF_BASE_MS = 60;
const BACKOFF_MAX_MS = 600;

/** Follows one topic of the log by long polls, from the newest record of each key on. */
export class LogFollower {
  private offset: number | undefined;
  private isStopped = true;
  /** Rises with each start, so that the loop of an earlier one ends even when its read returns late. */
  private generation = 0;
  private isConnected = false;
  private lastOkAt = -Infinity;
  private pauseEnd: AbortController | undefined;
  private pauseMs: number;
  private readonly waiters: RefreshWaiter[] = [];
  private readonly backoff: Backoff;

  constructor(private readonly options: LogFollowerOptions) {
    this.pauseMs = options.pauseMs;
    this.backoff = new Backoff({
      baseMs: BACKOFF_BASE_MS,
      maxMs: BACKOFF_MAX_MS,
      random: options.random,
    });
  }

  /** Follows until `stop`; resolves then. */
  async start(): Promise<void> {
    this.isStopped = false;
    this.generation += 1;
    const { generation } = this;
    while (this.isCurrent(generation)) {
      const askedAt = this.options.clock.readNow();
      const error = this.offset === undefined ? await this.readFirst() : await this.readNext(this.offset);
      if (!this.isCurrent(generation)) {
        break;
      }
      if (error === undefined) {
        this.recordSuccess(askedAt);
        await this.startPause(this.pauseMs);
      } else if (error.kind === 'forgotten') {
        this.offset = undefined;
      } else {
        this.recordFailure(error);
        await this.startPause(this.backoff.chooseDelay());
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    this.pauseEnd?.abort();
    this.sendFreshness(Infinity, false);
  }

  /** Sets the pause between reads from now on. */
  applyPause(pauseMs: number): void {
    this.pauseMs = pauseMs;
    this.pauseEnd?.abort();
  }

  /** Offset of the next record to come; undefined before the first read. */
  readOffset(): number | undefined {
    return this.offset;
  }

  /** Monotonic time at which the newest successful read was answered. */
  readLastOkAt(): number {
    return this.lastOkAt;
  }

  isFollowing(): boolean {
    return this.isConnected;
  }

  /** Resolves to true once a read that was sent after this call has been handled; to false after the time limit. */
  async startRefresh(timeoutMs: number): Promise<boolean> {
    const answered = new Promise<boolean>((resolve) => {
      this.waiters.push({ resolve, askedAt: this.options.clock.readNow() });
    });
    this.pauseEnd?.abort();
    const limit = new AbortController();
    const timedOut = startDelay(timeoutMs, limit.signal).then(() => false);
    const isFresh = await Promise.race([answered, timedOut]);
    limit.abort();
    return isFresh;
  }

  private async readFirst(): Promise<LogError | undefined> {
    const { client, topic } = this.options;
    const answer = await client.readNewest(topic, CALL_TIMEOUT_MS);
    if (!answer.ok) {
      return answer.error;
    }
    this.offset = answer.value.endOffset;
    this.options.handleRecords(answer.value.records);
    return undefined;
  }

  private async readNext(offset: number): Promise<LogError | undefined> {
    const { client, topic } = this.options;
    const waitMs = this.waiters.length > 0 ? 0 : this.options.pollMs;
    const timeoutMs = waitMs + CALL_TIMEOUT_MS;
    const answer = await client.readRecords({ topic, fromOffset: offset, waitMs, timeoutMs });
    if (!answer.ok) {
      return answer.error;
    }
    if (this.offset !== offset) {
      // A later start has read on meanwhile.
      return undefined;
    }
    const { records, endOffset } = answer.value;
    this.offset =
      records.length === 0 ? Math.max(offset, endOffset) : records[records.length - 1]!.offset + 1;
    if (records.length > 0) {
      this.options.handleRecords(records);
    }
    return undefined;
  }

  private recordSuccess(askedAt: number): void {
    this.lastOkAt = this.options.clock.readNow();
    this.backoff.recordSuccess();
    this.sendFreshness(askedAt, true);
    if (!this.isConnected) {
      this.isConnected = true;
      this.options.handleConnection?.(true, '');
    }
  }

  private recordFailure(error: LogError): void {
    this.sendFreshness(this.options.clock.readNow(), false);
    if (this.isConnected) {
      this.isConnected = false;
      const detail = error.kind === 'forgotten' ? 'history gone' : error.detail;
      this.options.handleConnection?.(false, detail);
    }
  }

  private sendFreshness(readSentAt: number, isFresh: boolean): void {
    const answered = this.waiters.filter((waiter) => waiter.askedAt <= readSentAt);
    for (const waiter of answered) {
      this.waiters.splice(this.waiters.indexOf(waiter), 1);
      waiter.resolve(isFresh);
    }
  }

  private async startPause(ms: number): Promise<void> {
    if (ms <= 0 || (this.waiters.length > 0 && this.isConnected)) {
      return;
    }
    this.pauseEnd = new AbortController();
    await startDelay(ms, this.pauseEnd.signal);
    this.pauseEnd = undefined;
  }

  /** Reads until all records before `offset` have been handled; false when the time is over first. */
  async startReadingTo(offset: number, timeoutMs: number): Promise<boolean> {
    const until = this.options.clock.readNow() + timeoutMs;
    while ((this.offset ?? 0) < offset) {
      const leftMs = until - this.options.clock.readNow();
      if (leftMs <= 0 || this.isStopped) {
        return false;
      }
      await this.startRefresh(leftMs);
    }
    return true;
  }

  private isCurrent(generation: number): boolean {
    return !this.isStopped && generation === this.generation;
  }
}
