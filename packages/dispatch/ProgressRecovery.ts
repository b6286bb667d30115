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
  readonly progressTopic: string;
  readonly epoch: number;
  /** Called when a job's record cannot be parsed; the job is treated as not started. */
  readonly handleUnreadableProgress: (job: JobId) => void;
  /** Called when a newer leader has fenced this one. */
  readonly handleFenced: (detail: string) => void;
}

const LOG_CALL_TIMEOUT_MS = 700;
const LOG_RETRY_DELAY_MS = 60;

/**
 * Recovers the job progress that earlier leaders have written. Only a new leader reads this topic, so that its traffic does not grow
 * with the number of boxes.
 */
export class ProgressRecovery {
  private readonly progressTexts = new Map<JobId, string>();
  private readonly progressReader: NewestReader;
  private isStopped = false;

  constructor(private readonly options: ProgressRecoveryOptions) {
    this.progressReader = new NewestReader(options.client, options.progressTopic);
  }

  /** Fences earlier leaders, then reads the whole topic, with retries. Resolves once that is done or stopped. */
  async run(): Promise<void> {
    await this.retryUntilDone(() => this.sendFence());
    await this.retryUntilDone(() => this.readRemainingPages());
  }

  stop(): void {
    this.isStopped = true;
    this.progressTexts.clear();
  }

  /** Removes and returns the newest progress of a job; that of a new job if none was written. */
  takeProgress(definition: JobDefinition): JobProgress {
    const text = this.progressTexts.get(definition.id);
    this.progressTexts.delete(definition.id);
    const parsed = text === undefined ? undefined : parseProgress(definition, text);
    if (text !== undefined && parsed === undefined) {
      this.options.handleUnreadableProgress(definition.id);
    }
    return parsed ?? new JobProgress(definition);
  }

  private async retryUntilDone(attempt: () => Promise<boolean>): Promise<void> {
    while (!this.isStopped && !(await attempt())) {
      await waitForDelay(LOG_RETRY_DELAY_MS);
    }
  }

  /** Fences earlier leaders by an append without records, which sets the topic's epoch. Returns false on failure. */
  private async sendFence(): Promise<boolean> {
    const { client, progressTopic, epoch, handleFenced } = this.options;
    const writer = { producer: leaderKeys.producer, epoch, sequence: leaderKeys.claimSequence };
    const response = await client.append({
      topic: progressTopic,
      writes: [],
      writer,
      timeoutMs: LOG_CALL_TIMEOUT_MS,
    });
    if (!response.ok && response.error.kind === 'fenced') {
      this.stop();
      handleFenced(response.error.detail);
    }
    return response.ok;
  }

  /** Reads pages until one fails; resolves to true once all have been read. */
  private async readRemainingPages(): Promise<boolean> {
    while (!this.isStopped) {
      const page = await this.progressReader.readPage(LOG_CALL_TIMEOUT_MS);
      if (!page.ok) {
        return false;
      }
      for (const { key, value } of page.value.records) {
        const id = jobKeys.parseProgressKey(key);
        if (id !== undefined) {
          this.progressTexts.set(id, value);
        }
      }
      if (page.value.endOffset !== undefined) {
        return true;
      }
    }
    return false;
  }
}
