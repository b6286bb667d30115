import { Backoff } from '../common/Backoff';
import type { Clock } from '../common/Clock';
import { formatError } from '../common/formatError';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import { waitWithTimeout } from '../common/waitWithTimeout';
import { waitForDelay } from '../common/waitForDelay';
import { Interruption } from './Interruption';
import type { LogClient } from './LogClient';
import type { LogError } from './LogError';
import type { LogRecord } from './LogRecord';
import { NewestReader } from './NewestReader';

type ReadResponse = Extract<Awaited<ReturnType<LogClient['readRecords']>>, { ok: true }>['value'];

interface LogFollowerOptions {
  readonly client: LogClient;
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  /** Pause between reads, which bounds the number of calls for a busy topic. */
  readonly pauseMs: number;
  /**
   * Pause after each page of the first read of the whole topic, as a multiple of the time that the page took, unless `pauseMs` is 0. Leaves a
   * narrow link to other calls while a long topic is read; no pause if not given.
   */
  readonly pagePauseRatio?: number;
  /** Time that a read waits for a record. Shorter polls detect an unavailable log sooner. */
  readonly pollWaitMs: number;
  /**
   * Handles records in order. Must be idempotent: after a gap the newest record of each key is delivered again, and if it throws, each record is
   * delivered again by itself.
   */
  readonly handleRecords: (records: readonly LogRecord[]) => void;
  readonly logger: Logger;
  /**
   * Called when the whole topic has been read, when reads start to fail (including the first ones), and when they succeed again, with
   * the monotonic time at which that read was sent.
   */
  readonly handleConnection?: (isConnected: boolean, detail: string, sentAt: number) => void;
}

/** Time limit of a read beyond its long-poll wait; doubles, up to the maximum, with each read without a response. */
const CALL_TIMEOUT_MS = 500;
const MAX_CALL_TIMEOUT_MS = 1000;
const REFRESH_RETRY_DELAY_MS = 20;
const READ_BACKOFF_BASE_MS = 60;
const READ_BACKOFF_MAX_MS = 400;

/** Follows a topic of the log by long polls, starting with the newest record of each key. */
export class LogFollower {
  private nextOffset: number | undefined;
  private isStopped = true;
  /** Increases with each start, so that the loop of an earlier start ends even when its read returns late. */
  private generation = 0;
  private isConnected = false;
  private hasCaughtUp = false;
  private isReadFailing = false;
  private hasLogResponded = false;
  private newestReader: NewestReader;
  private readonly interruption = new Interruption();
  private lastSuccessAt = -Infinity;
  /**
   * Monotonic time by which the pending read has a response. A response that is handled later was delayed in this process, by load or
   * suspension of the machine, and counts as received at this time.
   */
  private responseDueAt = -Infinity;
  /** Monotonic time at which the pending read was sent. */
  private readSentAt = -Infinity;
  private pauseAbort: AbortController | undefined;
  private pauseMs: number;
  private callTimeoutMs = CALL_TIMEOUT_MS;
  /** Pending read outside the loop, resolving to whether it succeeded. */
  private pendingRefresh: Promise<boolean> | undefined;
  /** The read after the pending one, which serves callers that arrive meanwhile. */
  private nextRefresh: Promise<boolean> | undefined;
  /** Longest timeout of the callers that `nextRefresh` serves, in milliseconds. */
  private nextRefreshTimeoutMs = 0;
  private readonly readBackoff: Backoff;

  constructor(private readonly options: LogFollowerOptions) {
    this.pauseMs = options.pauseMs;
    this.newestReader = new NewestReader(options.client, options.topic);
    this.readBackoff = new Backoff({
      baseMs: READ_BACKOFF_BASE_MS,
      maxMs: READ_BACKOFF_MAX_MS,
      random: options.random,
    });
  }

  /** Follows the topic. Resolves after `stop`. */
  async start(): Promise<void> {
    this.isStopped = false;
    this.generation += 1;
    const { generation } = this;
    while (this.isCurrentGeneration(generation)) {
      this.readSentAt = this.options.clock.getNow();
      const read =
        this.nextOffset === undefined ? this.readNewestPages() : this.readNextRecords(this.nextOffset);
      const outcome = await this.interruption.waitFor(read);
      if (!this.isCurrentGeneration(generation)) {
        break;
      }
      if (outcome === undefined) {
        continue;
      }
      if (outcome === 'more') {
        this.recordResponse();
      } else if (outcome === 'complete') {
        this.recordSuccess();
        await this.waitForPause(this.pauseMs);
      } else if (outcome.kind === 'forgotten') {
        this.recordFailure(outcome);
        this.nextOffset = undefined;
        this.hasCaughtUp = false;
        this.newestReader = new NewestReader(this.options.client, this.options.topic);
        // Avoids a tight loop of full reads when the log retains too little.
        await this.waitForPause(this.readBackoff.computeNextDelay());
      } else {
        this.recordFailure(outcome);
        await this.waitForPause(this.readBackoff.computeNextDelay());
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    this.pauseAbort?.abort();
  }

  /**
   * Retries at once if the last read failed, or if the pending one was sent earlier and may have been lost in the outage. Called when
   * the log has responded, after an outage, to a call sent at the monotonic time `successSentAt`.
   */
  retryPendingRead(successSentAt: number): void {
    const isOlder = this.nextOffset !== undefined && this.readSentAt < successSentAt;
    if (this.isReadFailing || isOlder) {
      this.interruption.cancel();
    }
    if (this.isReadFailing) {
      this.pauseAbort?.abort();
    }
  }

  /** Sets the pause between reads, and ends the current one. */
  setPause(pauseMs: number): void {
    this.pauseMs = pauseMs;
    this.pauseAbort?.abort();
  }

  /** Returns the offset of the next record; undefined until the whole topic has been read. */
  getOffset(): number | undefined {
    return this.nextOffset;
  }

  /** Returns the monotonic time of the last response to a read, but at most the time by which it was due. */
  getLastSuccessAt(): number {
    return this.lastSuccessAt;
  }

  /**
   * Returns true from the first time on at which all records of the topic had been handled, also while reads fail. After the newest record of each key
   * has been read in several pages, those that were written meanwhile have to be read as well.
   */
  hasReadWholeTopic(): boolean {
    return this.hasCaughtUp;
  }

  /** Returns true once the whole topic has been read, as long as reads succeed. */
  isUpToDate(): boolean {
    return this.isConnected;
  }

  /** Returns true while reads succeed, even before the whole topic is known. */
  isLogReachable(): boolean {
    return this.hasLogResponded && !this.isReadFailing;
  }

  /**
   * Resolves to true once all records written before this call have been handled. Resolves to false after the timeout, or at once while
   * the whole topic has not been read.
   */
  waitForRefresh(timeoutMs: number): Promise<boolean> {
    return waitWithTimeout(this.queueRefresh(timeoutMs), timeoutMs, false);
  }

  private queueRefresh(timeoutMs: number): Promise<boolean> {
    if (this.pendingRefresh === undefined) {
      this.pendingRefresh = this.readLatest(timeoutMs).finally(() => {
        this.pendingRefresh = undefined;
      });
      return this.pendingRefresh;
    }
    // The pending read may be older than this call: only the next one certainly shows the present state.
    this.nextRefreshTimeoutMs = Math.max(this.nextRefreshTimeoutMs, timeoutMs);
    this.nextRefresh ??= this.pendingRefresh.then(() => {
      const longestMs = this.nextRefreshTimeoutMs;
      this.nextRefresh = undefined;
      this.nextRefreshTimeoutMs = 0;
      return this.queueRefresh(longestMs);
    });
    return this.nextRefresh;
  }

  /**
   * Reads to the end of the topic at once, independently of the read loop. Resolves to false when a read fails, when the end is not reached in
   * time, or when the whole topic has not been read yet.
   */
  private async readLatest(timeoutMs: number): Promise<boolean> {
    const { client, topic, clock } = this.options;
    const until = clock.getNow() + timeoutMs;
    while (this.nextOffset !== undefined && clock.getNow() < until) {
      const { nextOffset } = this;
      const response = await client.readRecords({ topic, fromOffset: nextOffset, waitMs: 0, timeoutMs });
      if (!response.ok) {
        return false;
      }
      const progress = this.applyResponse(response.value);
      if (progress !== 'more') {
        return progress === 'complete';
      }
    }
    return false;
  }

  /**
   * Reads pages of the newest records until each key has been read or a read fails; the next attempt resumes after the last page. Returns `more` if
   * records may have been written between the pages.
   */
  private async readNewestPages(): Promise<LogError | 'complete' | 'more'> {
    while (this.nextOffset === undefined && !this.isStopped) {
      const sentAt = this.options.clock.getNow();
      this.responseDueAt = this.options.clock.getNow() + this.callTimeoutMs;
      const page = await this.newestReader.readPage(this.callTimeoutMs);
      if (!page.ok) {
        return page.error;
      }
      this.recordResponse();
      // A concurrent read may have set the offset already.
      this.nextOffset ??= page.value.endOffset;
      this.applyRecords(page.value.records);
      if (page.value.endOffset === undefined && this.pauseMs > 0) {
        const tookMs = this.options.clock.getNow() - sentAt;
        await this.waitForPause(tookMs * (this.options.pagePauseRatio ?? 0));
      }
    }
    return this.newestReader.countPages() > 1 ? 'more' : 'complete';
  }

  /** Reads the next records once; `more` when further records are known to be pending, which the next read returns at once. */
  private async readNextRecords(offset: number): Promise<LogError | 'complete' | 'more'> {
    const { client, topic } = this.options;
    // No long poll after a failure, so that recovery of the log is noticed early.
    const waitMs = this.isConnected ? this.options.pollWaitMs : 0;
    const timeoutMs = waitMs + this.callTimeoutMs;
    this.responseDueAt = this.options.clock.getNow() + timeoutMs;
    const response = await client.readRecords({ topic, fromOffset: offset, waitMs, timeoutMs });
    if (!response.ok) {
      return response.error;
    }
    return this.applyResponse(response.value) === 'more' ? 'more' : 'complete';
  }

  /**
   * Handles the records of a response that no other read has brought meanwhile. Returns `complete` when all records are handled that the
   * log had when it responded, `more` when others are pending since the size of a response is limited, and `stuck` when the response brought
   * none of the pending ones, or the topic is being read anew.
   */
  private applyResponse({ records, endOffset }: ReadResponse): 'complete' | 'more' | 'stuck' {
    const { nextOffset } = this;
    if (nextOffset === undefined) {
      return 'stuck';
    }
    const newRecords = records.filter(({ offset }) => offset >= nextOffset);
    const last = newRecords[newRecords.length - 1];
    if (last !== undefined) {
      this.nextOffset = last.offset + 1;
      this.applyRecords(newRecords);
    }
    if ((this.nextOffset ?? 0) >= endOffset) {
      return 'complete';
    }
    return records.length === 0 ? 'stuck' : 'more';
  }

  /** Handles records, one by one if that fails for them together, so that one that can't be handled does not keep others from being followed. */
  private applyRecords(records: readonly LogRecord[]): void {
    const { handleRecords, logger, topic } = this.options;
    try {
      handleRecords(records);
    } catch (thrown) {
      const error = formatError(thrown);
      logger.error('Records cannot be handled together.', { topic, records: records.length, error });
      records.forEach((record) => this.applyRecord(record));
    }
  }

  /** Handles a record, or logs that it is passed over. */
  private applyRecord(record: LogRecord): void {
    const { handleRecords, logger, topic } = this.options;
    try {
      handleRecords([record]);
    } catch (thrown) {
      const { key, offset } = record;
      const error = formatError(thrown);
      logger.error('Record cannot be handled and is passed over.', { topic, key, offset, error });
    }
  }

  private recordSuccess(): void {
    this.recordResponse();
    this.hasCaughtUp = true;
    if (!this.isConnected) {
      this.isConnected = true;
      this.options.handleConnection?.(true, '', this.readSentAt);
    }
  }

  private recordResponse(): void {
    this.lastSuccessAt = Math.max(
      this.lastSuccessAt,
      Math.min(this.options.clock.getNow(), this.responseDueAt),
    );
    this.callTimeoutMs = CALL_TIMEOUT_MS;
    this.hasLogResponded = true;
    this.isReadFailing = false;
    this.readBackoff.recordSuccess();
  }

  private recordFailure(error: LogError): void {
    const isNew = !this.isReadFailing;
    this.isReadFailing = true;
    if (error.kind === 'unknown') {
      this.callTimeoutMs = Math.min(MAX_CALL_TIMEOUT_MS, this.callTimeoutMs * 2);
    }
    if (isNew) {
      this.isConnected = false;
      const detail = error.kind === 'forgotten' ? 'history gone' : error.detail;
      this.options.handleConnection?.(false, detail, this.readSentAt);
    }
  }

  private async waitForPause(ms: number): Promise<void> {
    if (ms <= 0) {
      return;
    }
    this.pauseAbort = new AbortController();
    await waitForDelay(ms, this.pauseAbort.signal);
    this.pauseAbort = undefined;
  }

  /** Reads until all records before `offset` have been handled. Resolves to false after the timeout. */
  async waitForOffset(offset: number, timeoutMs: number): Promise<boolean> {
    const until = this.options.clock.getNow() + timeoutMs;
    while ((this.nextOffset ?? 0) < offset) {
      const leftMs = until - this.options.clock.getNow();
      if (leftMs <= 0 || this.isStopped) {
        return false;
      }
      if (!(await this.waitForRefresh(leftMs))) {
        await waitForDelay(REFRESH_RETRY_DELAY_MS);
      }
    }
    return true;
  }

  private isCurrentGeneration(generation: number): boolean {
    return !this.isStopped && generation === this.generation;
  }
}
