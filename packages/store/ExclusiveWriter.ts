import type { Clock } from '../common/Clock';
import { startDelay } from '../common/startDelay';
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
  /** Number of the newest append that this writer has made in the epoch. */
  readonly lastSequence: number;
  /** Waits this long for more records before an append is sent. */
  readonly lingerMs: number;
  readonly maxBytes: number;
  /** A newer writer holds the topic: nothing of this one lands any more. */
  readonly handleFenced: (detail: string) => void;
  /** An append was answered; the argument is when it was sent. */
  readonly handleConfirmed: (sentAt: number) => void;
  /** Appends fail, or work again; with the monotonic time at which the one that shows it was sent. */
  readonly handleConnection: (isConnected: boolean, detail: string, sentAt: number) => void;
}

interface QueuedChange {
  readonly handleWritten: () => void;
}

const RETRY_DELAY_MS = 60;

/**
 * Appends as the one writer of an epoch. Appends are numbered, so that one without an answer is repeated without doubling.
 * Records are formatted when they are sent: a key that changed several times meanwhile is written once.
 */
export class ExclusiveWriter {
  private readonly dirty = new Map<string, () => string>();
  private queued: QueuedChange[] = [];
  private sequence: number;
  private isSending = false;
  private isStopped = false;
  private failingSince: number | undefined;
  private readonly interruption = new Interruption();

  constructor(private readonly options: ExclusiveWriterOptions) {
    this.sequence = options.lastSequence;
  }

  /**
   * Queues the newest value of a key. `handleWritten` is called once it is durable, and never when it is not.
   * `formatValue` is called when the append is made.
   */
  queueWrite(key: string, formatValue: () => string, handleWritten?: () => void): void {
    if (this.isStopped) {
      return;
    }
    this.dirty.set(key, formatValue);
    if (handleWritten !== undefined) {
      this.queued.push({ handleWritten });
    }
    if (!this.isSending) {
      this.isSending = true;
      void this.sendQueued();
    }
  }

  /** How long appends have failed, in milliseconds; 0 while the newest was answered. */
  getOutageMs(): number {
    return this.failingSince === undefined ? 0 : this.options.clock.readNow() - this.failingSince;
  }

  /** Calls the handler once everything queued so far is durable; at once when it is. */
  queueBarrier(handleWritten: () => void): void {
    if (this.isSending) {
      this.queued.push({ handleWritten });
    } else {
      handleWritten();
    }
  }

  /** Sends the append under way once more if it has had no answer yet: the log is known to answer again. */
  retryPending(): void {
    if (this.failingSince !== undefined) {
      this.interruption.stopWait();
    }
  }

  stop(): void {
    this.isStopped = true;
    this.dirty.clear();
    this.queued = [];
  }

  /** Resolves once all that is queued is durable, or the time is over. */
  async waitForFlush(timeoutMs: number): Promise<void> {
    const until = this.options.clock.readNow() + timeoutMs;
    while (this.isSending && this.options.clock.readNow() < until) {
      await startDelay(5);
    }
  }

  private async sendQueued(): Promise<void> {
    await startDelay(this.options.lingerMs);
    while (this.dirty.size > 0 && !this.isStopped) {
      const writes = this.createBatch();
      // Changes that did not fit wait for the next append, and so do the handlers: a handler's record may be among them.
      const handlers = this.dirty.size === 0 ? this.queued.splice(0) : [];
      const isWritten = await this.sendBatch(writes);
      if (!isWritten) {
        break;
      }
      handlers.forEach(({ handleWritten }) => handleWritten());
    }
    this.isSending = false;
    if (!this.isStopped) {
      this.queued.splice(0).forEach(({ handleWritten }) => handleWritten());
    }
  }

  private createBatch(): readonly LogWrite[] {
    const writes: LogWrite[] = [];
    let bytes = 0;
    for (const [key, formatValue] of this.dirty) {
      const write = { key, value: formatValue() };
      bytes += appendRules.measureBytes(write);
      if (writes.length > 0 && bytes > this.options.maxBytes) {
        break;
      }
      this.dirty.delete(key);
      writes.push(write);
    }
    return writes;
  }

  private async sendBatch(writes: readonly LogWrite[]): Promise<boolean> {
    const { client, topic, clock, producer, epoch } = this.options;
    this.sequence += 1;
    let timeoutMs: number = appendRules.initialTimeoutMs;
    while (!this.isStopped) {
      const sentAt = clock.readNow();
      const writer = { producer, epoch, sequence: this.sequence };
      const answer = await this.interruption.startWait(client.append({ topic, writes, writer, timeoutMs }));
      if (this.hasStopped()) {
        return false;
      }
      if (answer === undefined) {
        continue;
      }
      if (answer.ok) {
        this.recordConnection(true, '', sentAt);
        this.options.handleConfirmed(sentAt);
        return true;
      }
      if (answer.error.kind === 'fenced') {
        this.stop();
        this.options.handleFenced(answer.error.detail);
        return false;
      }
      const detail = answer.error.kind === 'forgotten' ? 'forgotten' : answer.error.detail;
      this.recordConnection(false, detail, sentAt);
      timeoutMs = Math.min(appendRules.maxTimeoutMs, timeoutMs * 2);
      await startDelay(RETRY_DELAY_MS);
    }
    return false;
  }

  private recordConnection(isConnected: boolean, detail: string, sentAt: number): void {
    if ((this.failingSince === undefined) !== isConnected) {
      this.failingSince = isConnected ? undefined : this.options.clock.readNow();
      this.options.handleConnection(isConnected, detail, sentAt);
    }
  }

  private hasStopped(): boolean {
    return this.isStopped;
  }
}
