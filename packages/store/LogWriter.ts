import type { Clock } from '../common/Clock';
import type { Random } from '../common/Random';
import { waitForDelay } from '../common/waitForDelay';
import { appendRules } from './appendRules';
import { Interruption } from './Interruption';
import type { LogClient } from './LogClient';
import type { LogError } from './LogError';
import type { LogWrite } from './LogWrite';
import type { RecordWriter } from './RecordWriter';
import type { WriteOutcome } from './WriteOutcome';

interface LogWriterOptions {
  readonly client: LogClient;
  readonly topic: string;
  readonly clock: Clock;
  /** Time to wait for more records before an append is sent. */
  readonly lingerMs: number;
  /** Maximum size of an append in bytes. */
  readonly maxBatchBytes: number;
  readonly random: Random;
  /** Called for a record that the log never takes; its write is refused. */
  readonly handleRejected: (write: LogWrite, detail: string) => void;
  /** Record that may be written at any time, to probe whether the log has recovered. */
  readonly probe: LogWrite;
}

interface QueuedWrite {
  readonly write: LogWrite;
  readonly deadline: number;
  readonly resolve: (outcome: WriteOutcome) => void;
}

const APPEND_RETRY_DELAY_MS = 50;
/** Minimum pause between probes while the log is unavailable; up to twice as long by jitter. */
const PROBE_PAUSE_MS = 300;
const PROBE_TIMEOUT_MS = 700;

/**
 * Appends records of many callers in batches: one append at a time, while further records are queued for the next one.
 * An append without a response is retried, so that records must be idempotent.
 */
export class LogWriter implements RecordWriter {
  private readonly queuedWrites: QueuedWrite[] = [];
  private isSending = false;
  private appendTimeoutMs: number = appendRules.initialTimeoutMs;
  private appendsFailingSince: number | undefined;
  private isProbing = false;
  private readonly interruption = new Interruption();

  constructor(private readonly options: LogWriterOptions) {}

  /** Queues a record for the next append. Resolves to its outcome by the deadline, in monotonic milliseconds, at the latest. */
  writeRecord(write: LogWrite, deadline: number): Promise<WriteOutcome> {
    return new Promise((resolve) => {
      this.queuedWrites.push({ write, deadline, resolve });
      if (!this.isSending) {
        this.isSending = true;
        void this.sendQueued();
      }
    });
  }

  /** Returns for how long appends have failed, in milliseconds; 0 after a success. */
  getOutageMs(): number {
    return this.appendsFailingSince === undefined
      ? 0
      : this.options.clock.getNow() - this.appendsFailingSince;
  }

  /** Retries the pending append at once if appends have been failing. Called when the log is known to have recovered. */
  retryPendingAppend(): void {
    if (this.appendsFailingSince !== undefined) {
      this.interruption.cancel();
    }
  }

  private async sendQueued(): Promise<void> {
    await waitForDelay(this.options.lingerMs);
    while (this.queuedWrites.length > 0) {
      const isWritten = await this.sendBatch(this.createBatch());
      if (!isWritten) {
        // Queued writes have not been sent, so that they certainly have no effect.
        this.queuedWrites.splice(0).forEach(({ resolve }) => resolve('refused'));
      }
    }
    this.isSending = false;
    if (this.appendsFailingSince !== undefined && !this.isProbing) {
      void this.runProbes();
    }
  }

  /** Probes the log until it has recovered, independently of callers. */
  private async runProbes(): Promise<void> {
    const { clock, probe } = this.options;
    this.isProbing = true;
    while (this.appendsFailingSince !== undefined) {
      await waitForDelay(PROBE_PAUSE_MS * (1 + this.options.random()));
      await this.writeRecord(probe, clock.getNow() + PROBE_TIMEOUT_MS);
    }
    this.isProbing = false;
  }

  private createBatch(): readonly QueuedWrite[] {
    let bytes = 0;
    let count = 0;
    for (const { write } of this.queuedWrites) {
      bytes += appendRules.computeRecordBytes(write);
      if (count > 0 && bytes > this.options.maxBatchBytes) {
        break;
      }
      count += 1;
    }
    return this.queuedWrites.splice(0, count);
  }

  /**
   * Sends a batch, with retries until it succeeds or the deadlines of all writes have passed. Writes are settled one by one when their
   * deadline passes. Resolves to false when the log took no append.
   */
  private async sendBatch(batch: readonly QueuedWrite[]): Promise<boolean> {
    let pending = batch;
    let mayBeWritten = false;
    while (pending.length > 0) {
      const timeoutMs = Math.min(this.appendTimeoutMs, this.computeMaxRemainingMs(pending));
      const { client, topic } = this.options;
      const writes = pending.map(({ write }) => write);
      const response = await this.interruption.waitFor(client.append({ topic, writes, timeoutMs }));
      if (response === undefined) {
        mayBeWritten = true;
        continue;
      }
      if (response.ok) {
        this.recordSuccess();
        pending.forEach(({ resolve }) => resolve('written'));
        return true;
      }
      if (response.error.kind === 'rejected') {
        await this.handleRejection(pending, response.error.detail);
        return true;
      }
      this.recordFailure(response.error);
      mayBeWritten = mayBeWritten || response.error.kind === 'unknown';
      const now = this.options.clock.getNow() + APPEND_RETRY_DELAY_MS;
      pending
        .filter(({ deadline }) => deadline <= now)
        .forEach(({ resolve }) => resolve(mayBeWritten ? 'unknown' : 'refused'));
      pending = pending.filter(({ deadline }) => deadline > now);
      if (pending.length > 0) {
        await waitForDelay(APPEND_RETRY_DELAY_MS);
      }
    }
    return false;
  }

  /** Sends the writes of a batch that the log never takes one by one, so that only those are refused that it rejects by themselves. */
  private async handleRejection(batch: readonly QueuedWrite[], detail: string): Promise<void> {
    this.recordSuccess();
    const [only, ...others] = batch;
    if (only !== undefined && others.length === 0) {
      this.options.handleRejected(only.write, detail);
      only.resolve('refused');
      return;
    }
    for (const write of batch) {
      await this.sendBatch([write]);
    }
  }

  private computeMaxRemainingMs(pending: readonly QueuedWrite[]): number {
    const latest = Math.max(...pending.map(({ deadline }) => deadline));
    return Math.max(1, latest - this.options.clock.getNow());
  }

  private recordSuccess(): void {
    this.appendsFailingSince = undefined;
    this.appendTimeoutMs = appendRules.initialTimeoutMs;
  }

  private recordFailure(error: LogError): void {
    this.appendsFailingSince ??= this.options.clock.getNow();
    if (error.kind === 'unknown') {
      this.appendTimeoutMs = Math.min(appendRules.maxTimeoutMs, this.appendTimeoutMs * 2);
    }
  }
}
