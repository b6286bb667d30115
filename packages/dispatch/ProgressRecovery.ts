import { waitForDelay } from '../common/waitForDelay';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import { jobKeys } from '../jobs/jobKeys';
import { JobProgress } from '../jobs/JobProgress';
import { parseProgress } from '../jobs/parseProgress';
import { leaderKeys } from '../leadership/leaderKeys';
import type { LogClient } from '../store/LogClient';
import { NewestReader } from '../store/NewestReader';

interface ProgressRecoveryOptions {
  readonly client: LogClient;
  /** Topic of the progress of jobs. */
  readonly topic: string;
  readonly epoch: number;
  /** Called when a job's record cannot be parsed; the job is treated as not started. */
  readonly handleUnreadable: (job: JobId) => void;
  /** Called when a newer leader has fenced this one. */
  readonly handleFenced: (detail: string) => void;
}

const CALL_TIMEOUT_MS = 700;
const RETRY_DELAY_MS = 60;

/**
 * Recovers the job progress that earlier leaders have written. Only a new leader reads this topic, so that its traffic does not grow
 * with the number of boxes.
 */
export class ProgressRecovery {
  private readonly texts = new Map<JobId, string>();
  private readonly reader: NewestReader;
  private isStopped = false;

  constructor(private readonly options: ProgressRecoveryOptions) {
    this.reader = new NewestReader(options.client, options.topic);
  }

  /** Fences earlier leaders, then reads the whole topic, with retries. Resolves once that is done or stopped. */
  async run(): Promise<void> {
    await this.runUntilDone(() => this.sendFence());
    await this.runUntilDone(() => this.readRemainingPages());
  }

  stop(): void {
    this.isStopped = true;
    this.texts.clear();
  }

  /** Removes and returns the newest progress of a job; that of a new job if none was written. */
  takeProgress(definition: JobDefinition): JobProgress {
    const text = this.texts.get(definition.id);
    this.texts.delete(definition.id);
    const parsed = text === undefined ? undefined : parseProgress(definition, text);
    if (text !== undefined && parsed === undefined) {
      this.options.handleUnreadable(definition.id);
    }
    return parsed ?? new JobProgress(definition);
  }

  private async runUntilDone(attempt: () => Promise<boolean>): Promise<void> {
    while (!this.isStopped && !(await attempt())) {
      await waitForDelay(RETRY_DELAY_MS);
    }
  }

  /** Fences earlier leaders by an append without records, which sets the topic's epoch. Returns false on failure. */
  private async sendFence(): Promise<boolean> {
    const { client, topic, epoch, handleFenced } = this.options;
    const writer = { producer: leaderKeys.producer, epoch, sequence: leaderKeys.claimSequence };
    const response = await client.append({ topic, writes: [], writer, timeoutMs: CALL_TIMEOUT_MS });
    if (!response.ok && response.error.kind === 'fenced') {
      this.stop();
      handleFenced(response.error.detail);
    }
    return response.ok;
  }

  /** Reads pages until one fails; resolves to true once all have been read. */
  private async readRemainingPages(): Promise<boolean> {
    while (!this.isStopped) {
      const page = await this.reader.readPage(CALL_TIMEOUT_MS);
      if (!page.ok) {
        return false;
      }
      for (const { key, value } of page.value.records) {
        const id = jobKeys.parseProgressKey(key);
        if (id !== undefined) {
          this.texts.set(id, value);
        }
      }
      if (page.value.endOffset !== undefined) {
        return true;
      }
    }
    return false;
  }
}
