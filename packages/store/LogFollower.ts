import { Backoff } from '../common/Backoff';
import type { Clock } from '../common/Clock';
import type { Random } from '../common/Random';
import { startBounded } from '../common/startBounded';
import { startDelay } from '../common/startDelay';
import { Interruption } from './Interruption';
import type { LogClient } from './LogClient';
import type { LogError } from './LogError';
import type { LogRecord } from './LogRecord';
import { NewestReader } from './NewestReader';

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
  /**
   * Told when the whole topic has been read, when reads fail, the first ones too, and when they are answered again; with the
   * monotonic time at which the read that shows it was sent.
   */
  readonly handleConnection?: (isConnected: boolean, detail: string, sentAt: number) => void;
}

/** Silence beyond the wait that was asked for before a call is given up; doubles with each call that had no answer. */
const CALL_TIMEOUT_MS = 500;
const MAX_CALL_TIMEOUT_MS = 1000;
const READ_AGAIN_MS = 20;
const BACKOFF_BASE_MS = 60;
const BACKOFF_MAX_MS = 400;

/** Follows one topic of the log by long polls, from the newest record of each key on. */
export class LogFollower {
  private offset: number | undefined;
  private isStopped = true;
  /** Rises with each start, so that the loop of an earlier one ends even when its read returns late. */
  private generation = 0;
  private isConnected = false;
  private isFailing = false;
  private hasAnswered = false;
  private newest: NewestReader;
  private readonly interruption = new Interruption();
  private lastOkAt = -Infinity;
  /**
   * Monotonic time by which the read under way is answered. An answer that is read later has waited while this process was held up or its
   * machine suspended: it tells nothing newer, and a box that woke took a live leader for silent by it.
   */
  private dueAt = -Infinity;
  /** Monotonic time at which the read under way was sent. */
  private sentAt = -Infinity;
  private pauseEnd: AbortController | undefined;
  private pauseMs: number;
  private timeoutMs = CALL_TIMEOUT_MS;
  /** A read outside the loop, and the one that follows it for those who ask meanwhile. */
  private refresh: Promise<boolean> | undefined;
  private nextRefresh: Promise<boolean> | undefined;
  private readonly backoff: Backoff;

  constructor(private readonly options: LogFollowerOptions) {
    this.pauseMs = options.pauseMs;
    this.newest = new NewestReader(options.client, options.topic);
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
      this.sentAt = this.options.clock.readNow();
      const read = this.offset === undefined ? this.readFirst() : this.readNext(this.offset);
      const error = await this.interruption.startWait(read.then((failure) => failure ?? 'done'));
      if (!this.isCurrent(generation)) {
        break;
      }
      if (error === undefined) {
        continue;
      }
      if (error === 'done') {
        this.recordSuccess();
        await this.startPause(this.pauseMs);
      } else if (error.kind === 'forgotten') {
        this.offset = undefined;
        this.newest = new NewestReader(this.options.client, this.options.topic);
        // A log that goes on forgetting would be read whole without a pause.
        await this.startPause(this.backoff.chooseDelay());
      } else {
        this.recordFailure(error);
        await this.startPause(this.backoff.chooseDelay());
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    this.pauseEnd?.abort();
  }

  /**
   * The log is known to answer calls sent at `answeredSentAt`, after an outage. Reads at once if the last read failed, or if the
   * one under way was sent earlier: it may have gone into the outage, and would be missed only after its wait and time limit
   * (1.5 s for a leader's long poll).
   */
  retryPending(answeredSentAt: number): void {
    const isOlder = this.offset !== undefined && this.sentAt < answeredSentAt;
    if (this.isFailing || isOlder) {
      this.interruption.stopWait();
    }
    if (this.isFailing) {
      this.pauseEnd?.abort();
    }
  }

  /** Sets the pause between reads from now on. */
  setPause(pauseMs: number): void {
    this.pauseMs = pauseMs;
    this.pauseEnd?.abort();
  }

  /** Offset of the next record to come; undefined before the first read. */
  getOffset(): number | undefined {
    return this.offset;
  }

  /** Monotonic time of which the newest successful read tells. */
  getLastSuccessAt(): number {
    return this.lastOkAt;
  }

  /** True while the whole topic is known and reads are answered. */
  isFollowing(): boolean {
    return this.isConnected;
  }

  /** True while reads are answered, also before the whole topic is known. */
  isReachable(): boolean {
    return this.hasAnswered && !this.isFailing;
  }

  /**
   * Resolves to true once a read that was sent after this call has been handled; to false when there was none in time, and at
   * once while the topic has not been read whole.
   */
  waitForRefresh(timeoutMs: number): Promise<boolean> {
    return startBounded(this.queueRefresh(timeoutMs), timeoutMs, false);
  }

  private queueRefresh(timeoutMs: number): Promise<boolean> {
    if (this.refresh === undefined) {
      this.refresh = this.readNow(timeoutMs).finally(() => {
        this.refresh = undefined;
      });
      return this.refresh;
    }
    // The read under way may have been answered before this call: only the next one is sure to show what was there.
    this.nextRefresh ??= this.refresh.then(() => {
      this.nextRefresh = undefined;
      return this.queueRefresh(timeoutMs);
    });
    return this.nextRefresh;
  }

  /** Reads beside the loop, which may be in a long poll. */
  private async readNow(timeoutMs: number): Promise<boolean> {
    const { client, topic } = this.options;
    while (this.offset !== undefined) {
      const { offset } = this;
      const answer = await client.readRecords({ topic, fromOffset: offset, waitMs: 0, timeoutMs });
      if (!answer.ok) {
        return false;
      }
      if (this.offset === offset) {
        this.applyRecords(answer.value.records);
        return true;
      }
    }
    return false;
  }

  /** Reads pages of the newest records until all have come or one fails; the next try goes on after those that came. */
  private async readFirst(): Promise<LogError | undefined> {
    while (this.offset === undefined && !this.isStopped) {
      this.dueAt = this.options.clock.readNow() + this.timeoutMs;
      const page = await this.newest.readPage(this.timeoutMs);
      if (!page.ok) {
        return page.error;
      }
      this.recordAnswered();
      // Unless a later read was quicker.
      this.offset ??= page.value.endOffset;
      this.options.handleRecords(page.value.records);
    }
    return undefined;
  }

  private async readNext(offset: number): Promise<LogError | undefined> {
    const { client, topic } = this.options;
    // After a failure no long poll, so that the return of the log is noticed soon.
    const waitMs = this.isConnected ? this.options.pollMs : 0;
    const timeoutMs = waitMs + this.timeoutMs;
    this.dueAt = this.options.clock.readNow() + timeoutMs;
    const answer = await client.readRecords({ topic, fromOffset: offset, waitMs, timeoutMs });
    if (!answer.ok) {
      return answer.error;
    }
    // Unless a refresh or a later start has read on meanwhile.
    if (this.offset === offset) {
      this.applyRecords(answer.value.records);
    }
    return undefined;
  }

  private applyRecords(records: readonly LogRecord[]): void {
    const last = records[records.length - 1];
    if (last !== undefined) {
      this.offset = last.offset + 1;
      this.options.handleRecords(records);
    }
  }

  private recordSuccess(): void {
    this.recordAnswered();
    if (!this.isConnected) {
      this.isConnected = true;
      this.options.handleConnection?.(true, '', this.sentAt);
    }
  }

  private recordAnswered(): void {
    this.lastOkAt = Math.max(this.lastOkAt, Math.min(this.options.clock.readNow(), this.dueAt));
    this.timeoutMs = CALL_TIMEOUT_MS;
    this.hasAnswered = true;
    this.isFailing = false;
    this.backoff.recordSuccess();
  }

  private recordFailure(error: LogError): void {
    const isNew = !this.isFailing;
    this.isFailing = true;
    if (error.kind === 'unknown') {
      this.timeoutMs = Math.min(MAX_CALL_TIMEOUT_MS, this.timeoutMs * 2);
    }
    if (isNew) {
      this.isConnected = false;
      const detail = error.kind === 'forgotten' ? 'history gone' : error.detail;
      this.options.handleConnection?.(false, detail, this.sentAt);
    }
  }

  private async startPause(ms: number): Promise<void> {
    if (ms <= 0) {
      return;
    }
    this.pauseEnd = new AbortController();
    await startDelay(ms, this.pauseEnd.signal);
    this.pauseEnd = undefined;
  }

  /** Reads until all records before `offset` have been handled; false when the time is over first. */
  async waitForOffset(offset: number, timeoutMs: number): Promise<boolean> {
    const until = this.options.clock.readNow() + timeoutMs;
    while ((this.offset ?? 0) < offset) {
      const leftMs = until - this.options.clock.readNow();
      if (leftMs <= 0 || this.isStopped) {
        return false;
      }
      if (!(await this.waitForRefresh(leftMs))) {
        await startDelay(READ_AGAIN_MS);
      }
    }
    return true;
  }

  private isCurrent(generation: number): boolean {
    return !this.isStopped && generation === this.generation;
  }
}
