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
  /** Called when the record of a job's progress, or of a part, cannot be parsed; the job or the tasks of the part are treated as not started. */
  readonly handleUnreadableProgress: (job: JobId, part?: number) => void;
  /** Called when the log rejects the fencing append since a newer leader has fenced this one; the recovery has stopped. */
  readonly handleFenced: (detail: string) => void;
}

/** Time limit of one call to the log. */
const LOG_CALL_TIMEOUT_MS = 700;
/** Delay between a failed call and the next. */
const LOG_RETRY_DELAY_MS = 60;

/**
 * Recovers the job progress that earlier leaders have written. Only a new leader reads this topic, so that its traffic does not grow
 * with the number of boxes.
 */
export class ProgressRecovery {
  /** Newest record of each job's progress, until it is taken. */
  private readonly progressTexts = new Map<JobId, string>();
  /** Newest records of the parts of each job's progress, by number, until they are taken. */
  private readonly partTexts = new Map<JobId, Map<number, string>>();
  private readonly progressReader: NewestReader;
  private isStopped = false;

  constructor(private readonly options: ProgressRecoveryOptions) {
    this.progressReader = new NewestReader(options.client, options.progressTopic);
  }

  /** Fences earlier leaders, then reads the whole topic, and retries both until they succeed. Resolves once done or stopped. */
  async run(): Promise<void> {
    await this.retryUntilDone(() => this.sendFence());
    await this.retryUntilDone(() => this.readRemainingPages());
  }

  /** Stops the recovery and forgets all records. */
  stop(): void {
    this.isStopped = true;
    this.progressTexts.clear();
    this.partTexts.clear();
  }

  /** Returns the newest recorded progress of a job and forgets it; that of a new job if there is none or it cannot be parsed. */
  takeProgress(definition: JobDefinition): JobProgress {
    const { id } = definition;
    const text = this.progressTexts.get(id);
    const parts = this.partTexts.get(id) ?? new Map<number, string>();
    this.progressTexts.delete(id);
    this.partTexts.delete(id);
    const parsed = parseProgress(definition, {
      text,
      parts,
      handleMalformed: (part) => this.options.handleUnreadableProgress(id, part),
    });
    return parsed ?? new JobProgress(definition);
  }

  private recordText(key: string, value: string): void {
    const { job, part } = jobKeys.parseProgressKey(key) ?? {};
    if (job === undefined || value === '') {
      return;
    }
    if (part === undefined) {
      this.progressTexts.set(job, value);
      return;
    }
    const parts = this.partTexts.get(job) ?? new Map<number, string>();
    this.partTexts.set(job, parts.set(part, value));
  }

  private async retryUntilDone(attempt: () => Promise<boolean>): Promise<void> {
    while (!this.isStopped && !(await attempt())) {
      await waitForDelay(LOG_RETRY_DELAY_MS);
    }
  }

  /**
   * Fences earlier leaders by an append without records, which sets the topic's epoch. Resolves to false on failure. If a newer
   * leader has fenced this one, also stops the recovery and calls `handleFenced`.
   */
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

  /**
   * Reads the remaining pages; resolves to true once all have been read, and to false when one fails or the recovery was stopped.
   */
  private async readRemainingPages(): Promise<boolean> {
    while (!this.isStopped) {
      const page = await this.progressReader.readPage(LOG_CALL_TIMEOUT_MS);
      if (!page.ok) {
        return false;
      }
      for (const { key, value } of page.value.records) {
        this.recordText(key, value);
      }
      if (page.value.endOffset !== undefined) {
        return true;
      }
    }
    return false;
  }
}
