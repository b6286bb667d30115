import type { Clock } from '../common/Clock';
import { waitForDelay } from '../common/waitForDelay';
import { appendRules } from './appendRules';
import { Interruption } from './Interruption';
import type { LogClient } from './LogClient';
import type { LogWrite } from './LogWrite';

interface ExclusiveWriterOptions {
  readonly client: LogClient;
  readonly topic: string;
  readonly clock: Clock;
  readonly producer: string;
  readonly epoch: number;
  /** Sequence number of the last append of this writer in the epoch. */
  readonly lastSequence: number;
  /** Time to wait for more records before an append is sent. */
  readonly lingerMs: number;
  readonly maxBatchBytes: number;
  /** Called when the log rejects an append since a newer writer holds the topic. This writer has stopped then. */
  readonly handleFenced: (detail: string) => void;
  /**
   * Called when an append has succeeded, with the monotonic time at which it was first sent: an attempt without a response may have written it, for
   * others to read, long before the one that was acknowledged.
   */
  readonly handleConfirmed: (firstSentAt: number) => void;
  /** Called for a record that the log never takes, which is passed over: the handlers of its writes are called as if it were durable. */
  readonly handleRejected: (write: LogWrite, detail: string) => void;
  /** Called when appends start to fail or succeed again, with the monotonic time at which that append was sent. */
  readonly handleConnection: (isConnected: boolean, detail: string, sentAt: number) => void;
}

interface QueuedHandler {
  readonly handleWritten: () => void;
}

const APPEND_RETRY_DELAY_MS = 60;

/**
 * Appends as the only writer of an epoch. Appends are numbered, so that a retry is not written twice.
 * Records are formatted when they are sent, and a key that has changed several times until then is written once.
 */
export class ExclusiveWriter {
  /** Formatters of the newest values that have not been sent, by key. One may queue writes of other keys, and return undefined to write nothing. */
  private readonly pendingValues = new Map<string, () => string | undefined>();
  private queuedHandlers: QueuedHandler[] = [];
  private lastSequence: number;
  private isSending = false;
  private isStopped = false;
  private appendsFailingSince: number | undefined;
  private readonly interruption = new Interruption();

  constructor(private readonly options: ExclusiveWriterOptions) {
    this.lastSequence = options.lastSequence;
  }

  /**
   * Queues the newest value of a key. `formatValue` is called when the append is sent; it may queue writes of other keys, and return undefined to write
   * nothing. `handleWritten` is called once the value is durable, and never if the value does not become durable.
   */
  queueWrite(key: string, formatValue: () => string | undefined, handleWritten?: () => void): void {
    if (this.isStopped) {
      return;
    }
    this.pendingValues.set(key, formatValue);
    if (handleWritten !== undefined) {
      this.queuedHandlers.push({ handleWritten });
    }
    if (!this.isSending) {
      this.isSending = true;
      void this.sendQueued();
    }
  }

  /** Returns for how long appends have failed, in milliseconds; 0 after a success. */
  getOutageMs(): number {
    return this.appendsFailingSince === undefined
      ? 0
      : this.options.clock.getNow() - this.appendsFailingSince;
  }

  /** Calls the handler once everything queued so far is durable, which may be at once. */
  queueBarrier(handleWritten: () => void): void {
    if (this.isSending) {
      this.queuedHandlers.push({ handleWritten });
    } else {
      handleWritten();
    }
  }

  /** Retries the pending append at once if appends have been failing. Called when the log is known to have recovered. */
  retryPendingAppend(): void {
    if (this.appendsFailingSince !== undefined) {
      this.interruption.cancel();
    }
  }

  /** Stops sending, and drops the queued values and handlers. An append that was sent may still succeed. */
  stop(): void {
    this.isStopped = true;
    this.pendingValues.clear();
    this.queuedHandlers = [];
  }

  /** Resolves once all queued appends have been sent and acknowledged, or the writer has stopped, or after the timeout in milliseconds. */
  async waitForFlush(timeoutMs: number): Promise<void> {
    const until = this.options.clock.getNow() + timeoutMs;
    while (this.isSending && this.options.clock.getNow() < until) {
      await waitForDelay(5);
    }
  }

  private async sendQueued(): Promise<void> {
    await waitForDelay(this.options.lingerMs);
    while (this.pendingValues.size > 0 && !this.isStopped) {
      const writes = this.createBatch();
      // Handlers are called only after the append that leaves no queued values: until then, their values may not have been sent.
      const handlers = this.pendingValues.size === 0 ? this.queuedHandlers.splice(0) : [];
      const isSettled = writes.length === 0 || (await this.sendBatch(writes));
      if (!isSettled) {
        break;
      }
      handlers.forEach(({ handleWritten }) => handleWritten());
    }
    this.isSending = false;
    if (!this.isStopped) {
      this.queuedHandlers.splice(0).forEach(({ handleWritten }) => handleWritten());
    }
  }

  private createBatch(): readonly LogWrite[] {
    const writes: LogWrite[] = [];
    let bytes = 0;
    for (const [key, formatValue] of this.pendingValues) {
      const value = formatValue();
      if (value === undefined) {
        // The formatter may have queued another value of its own key.
        if (this.pendingValues.get(key) === formatValue) {
          this.pendingValues.delete(key);
        }
        continue;
      }
      const write = { key, value };
      bytes += appendRules.computeRecordBytes(write);
      if (writes.length > 0 && bytes > this.options.maxBatchBytes) {
        break;
      }
      this.pendingValues.delete(key);
      writes.push(write);
    }
    return writes;
  }

  /** Sends the records of an append that the log never takes one by one, and reports those that it rejects by themselves. False once stopped. */
  private async handleRejection(writes: readonly LogWrite[], detail: string): Promise<boolean> {
    if (writes.length === 1) {
      this.options.handleRejected(writes[0]!, detail);
      return !this.hasStopped();
    }
    for (const write of writes) {
      if (!(await this.sendBatch([write]))) {
        return false;
      }
    }
    return true;
  }

  /** Sends an append until it is acknowledged, or the log never takes it. Resolves to false when this writer has stopped. */
  private async sendBatch(writes: readonly LogWrite[]): Promise<boolean> {
    const { client, topic, clock, producer, epoch } = this.options;
    this.lastSequence += 1;
    let timeoutMs: number = appendRules.initialTimeoutMs;
    const firstSentAt = clock.getNow();
    while (!this.isStopped) {
      const sentAt = clock.getNow();
      const writer = { producer, epoch, sequence: this.lastSequence };
      const response = await this.interruption.waitFor(client.append({ topic, writes, writer, timeoutMs }));
      if (this.hasStopped()) {
        return false;
      }
      if (response === undefined) {
        continue;
      }
      if (response.ok) {
        this.recordConnection(true, '', sentAt);
        this.options.handleConfirmed(firstSentAt);
        return true;
      }
      if (response.error.kind === 'fenced') {
        this.stop();
        this.options.handleFenced(response.error.detail);
        return false;
      }
      if (response.error.kind === 'rejected') {
        // The log has not counted the append.
        this.lastSequence -= 1;
        this.recordConnection(true, '', sentAt);
        return this.handleRejection(writes, response.error.detail);
      }
      const detail = response.error.kind === 'forgotten' ? 'forgotten' : response.error.detail;
      this.recordConnection(false, detail, sentAt);
      timeoutMs = Math.min(appendRules.maxTimeoutMs, timeoutMs * 2);
      await waitForDelay(APPEND_RETRY_DELAY_MS);
    }
    return false;
  }

  private recordConnection(isConnected: boolean, detail: string, sentAt: number): void {
    if ((this.appendsFailingSince === undefined) !== isConnected) {
      this.appendsFailingSince = isConnected ? undefined : this.options.clock.getNow();
      this.options.handleConnection(isConnected, detail, sentAt);
    }
  }

  private hasStopped(): boolean {
    return this.isStopped;
  }
}
