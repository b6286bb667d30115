import type { Clock } from '../common/Clock';
import type { Random } from '../common/Random';
import { startDelay } from '../common/startDelay';
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
  /** Waits this long for more records before an append is sent. */
  readonly lingerMs: number;
  /** Largest append in bytes. */
  readonly maxBytes: number;
  readonly random: Random;
  /** A record that may be written at any time, to try whether the log is back. */
  readonly probe: LogWrite;
}

interface QueuedWrite {
  readonly write: LogWrite;
  readonly deadline: number;
  readonly resolve: (outcome: WriteOutcome) => void;
}

const RETRY_DELAY_MS = 50;
const PROBE_PAUSE_MS = 300;
const PROBE_LIMIT_MS = 700;

/**
 * Appends records of many callers with few calls: one append at a time, and all that came meanwhile goes into the next.
 * The records must bear being appended twice, since an append without an answer is tried again.
 */
export class LogWriter implements RecordWriter {
  private readonly queued: QueuedWrite[] = [];
  private isSending = false;
  private timeoutMs: number = appendRules.initialTimeoutMs;
  private failingSince: number | undefined;
  private isProbing = false;
  private readonly interruption = new Interruption();

  constructor(private readonly options: LogWriterOptions) {}

  /** Appends one record. Answers by the deadline, in monotonic milliseconds, at the latest. */
  writeRecord(write: LogWrite, deadline: number): Promise<WriteOutcome> {
    return new Promise((resolve) => {
      this.queued.push({ write, deadline, resolve });
      if (!this.isSending) {
        this.isSending = true;
        void this.sendQueued();
      }
    });
  }

  /** How long appends have failed, in milliseconds; 0 while the newest was answered. */
  getOutageMs(): number {
    return this.failingSince === undefined ? 0 : this.options.clock.readNow() - this.failingSince;
  }

  /** Sends the append under way once more if it has had no answer yet: the log is known to answer again. */
  retryPending(): void {
    if (this.failingSince !== undefined) {
      this.interruption.stopWait();
    }
  }

  private async sendQueued(): Promise<void> {
    await startDelay(this.options.lingerMs);
    while (this.queued.length > 0) {
      const isAnswered = await this.sendBatch(this.createBatch());
      if (!isAnswered) {
        // Nothing of these has been sent, so that they certainly do not land: better than to send them into the same silence.
        this.queued.splice(0).forEach(({ resolve }) => resolve('refused'));
      }
    }
    this.isSending = false;
    if (this.failingSince !== undefined && !this.isProbing) {
      void this.startProbing();
    }
  }

  /** While appends fail, tries by itself whether the log is back, so that no caller has to. */
  private async startProbing(): Promise<void> {
    const { clock, probe } = this.options;
    this.isProbing = true;
    while (this.failingSince !== undefined) {
      await startDelay(PROBE_PAUSE_MS * (1 + this.options.random()));
      await this.writeRecord(probe, clock.readNow() + PROBE_LIMIT_MS);
    }
    this.isProbing = false;
  }

  private createBatch(): readonly QueuedWrite[] {
    let bytes = 0;
    let count = 0;
    for (const { write } of this.queued) {
      bytes += appendRules.measureBytes(write);
      if (count > 0 && bytes > this.options.maxBytes) {
        break;
      }
      count += 1;
    }
    return this.queued.splice(0, count);
  }

  /**
   * Tries a batch until it is answered; writes whose deadline passes meanwhile are given up one by one. False when all were given
   * up.
   */
  private async sendBatch(batch: readonly QueuedWrite[]): Promise<boolean> {
    let open = batch;
    let mayHaveLanded = false;
    while (open.length > 0) {
      const timeoutMs = Math.min(this.timeoutMs, this.readLongestLeft(open));
      const { client, topic } = this.options;
      const writes = open.map(({ write }) => write);
      const answer = await this.interruption.startWait(client.append({ topic, writes, timeoutMs }));
      if (answer === undefined) {
        mayHaveLanded = true;
        continue;
      }
      if (answer.ok) {
        this.recordSuccess();
        open.forEach(({ resolve }) => resolve('written'));
        return true;
      }
      this.recordFailure(answer.error);
      mayHaveLanded = mayHaveLanded || answer.error.kind === 'unknown';
      const now = this.options.clock.readNow() + RETRY_DELAY_MS;
      open
        .filter(({ deadline }) => deadline <= now)
        .forEach(({ resolve }) => resolve(mayHaveLanded ? 'unknown' : 'refused'));
      open = open.filter(({ deadline }) => deadline > now);
      if (open.length > 0) {
        await startDelay(RETRY_DELAY_MS);
      }
    }
    return false;
  }

  private readLongestLeft(open: readonly QueuedWrite[]): number {
    const latest = Math.max(...open.map(({ deadline }) => deadline));
    return Math.max(1, latest - this.options.clock.readNow());
  }

  private recordSuccess(): void {
    this.failingSince = undefined;
    this.timeoutMs = appendRules.initialTimeoutMs;
  }

  private recordFailure(error: LogError): void {
    this.failingSince ??= this.options.clock.readNow();
    if (error.kind === 'unknown') {
      this.timeoutMs = Math.min(appendRules.maxTimeoutMs, this.timeoutMs * 2);
    }
  }
}
