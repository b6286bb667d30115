import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import { formatProgress } from '../jobs/formatProgress';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import { jobKeys } from '../jobs/jobKeys';
import type { JobProgress } from '../jobs/JobProgress';
import type { JobReplica } from '../jobs/JobReplica';
import type { JobState } from '../jobs/JobState';
import { leaderKeys } from '../leadership/leaderKeys';
import { leaderTimings } from '../leadership/leaderTimings';
import { loadKeys } from '../load/loadKeys';
import { ExclusiveWriter } from '../store/ExclusiveWriter';
import type { LogClient } from '../store/LogClient';

interface LeaderJournalOptions {
  readonly epoch: number;
  /** Monotonic time at which the claim was sent that made this process lead. */
  readonly claimedAt: number;
  readonly client: LogClient;
  /** Topic of the states of jobs and of the leader's record, which every box follows. */
  readonly statesTopic: string;
  /** Topic of the progress of jobs, which only a new leader reads. */
  readonly progressTopic: string;
  readonly maxAppendBytes: number;
  readonly replica: JobReplica;
  readonly clock: MachineClock;
  readonly logger: Logger;
  readonly formatLeaderRecord: (isResigned: boolean) => string;
  /** Called when the log rejects a write since a newer leader has written. */
  readonly handleFenced: (detail: string) => void;
  /** Called when the log has recovered from an outage, with the monotonic time at which the first successful append was sent. */
  readonly handleLogRecovered: (sentAt: number) => void;
}

/** Time for which changes are gathered into one append. */
const LINGER_MS = 8;
const RESIGN_TIMEOUT_MS = 600;

/** Writes a leader's records to the log: job progress, then the job states that follow from it, heartbeats and load digests. */
export class LeaderJournal {
  /** Starts are sent, and ends acknowledged, only once they are durable here. */
  private readonly progressWriter: ExclusiveWriter;
  private readonly stateWriter: ExclusiveWriter;
  /** Monotonic time at which the newest acknowledged write to the states topic was sent. */
  private acknowledgedSentAt: number;

  constructor(private readonly options: LeaderJournalOptions) {
    this.acknowledgedSentAt = options.claimedAt;
    this.progressWriter = this.createWriter(options.progressTopic, () => undefined);
    this.stateWriter = this.createWriter(options.statesTopic, (sentAt) => {
      this.acknowledgedSentAt = Math.max(this.acknowledgedSentAt, sentAt);
    });
  }

  /**
   * Returns true while less than `limitMs` has certainly passed, including time in which the machine was suspended, since the newest
   * acknowledged write was sent. The next leader computes from that write, which it has read, how long leases may last.
   */
  isAcknowledgedWithin(limitMs: number): boolean {
    return this.options.clock.getMaxElapsedSince(this.acknowledgedSentAt) < limitMs;
  }

  /** Returns how long writes have failed, in milliseconds; 0 while they succeed. */
  getLogOutageMs(): number {
    return Math.max(this.progressWriter.getOutageMs(), this.stateWriter.getOutageMs());
  }

  /** Returns how long writes of job progress have failed, in milliseconds; 0 while they succeed. */
  getProgressOutageMs(): number {
    return this.progressWriter.getOutageMs();
  }

  /** Queues a write of a job's progress, formatted when the append is sent, then of its state. */
  queueProgress(definition: JobDefinition, progress: JobProgress, handleWritten?: () => void): void {
    let writtenState: JobState | undefined;
    const formatValue = (): string => {
      writtenState = progress.getState();
      return formatProgress(definition, progress);
    };
    this.progressWriter.queueWrite(jobKeys.toProgressKey(definition.id), formatValue, () => {
      // Several changes in one append are formatted once, with the last.
      if (writtenState !== undefined) {
        this.queueState(definition.id, writtenState);
      }
      handleWritten?.();
    });
  }

  /** Queues a write of the state of a job whose progress is durable, unless it is written already. */
  queueState(id: JobId, state: JobState): void {
    const { replica } = this.options;
    if (replica.getWrittenState(id) !== state) {
      this.stateWriter.queueWrite(
        jobKeys.toStateKey(id),
        () => state,
        () => replica.setState(id, state),
      );
    }
  }

  /** Resolves once all progress queued so far is durable. */
  waitForFlush(): Promise<void> {
    return new Promise((resolve) => this.progressWriter.queueBarrier(resolve));
  }

  /** Queues a heartbeat when no other write was acknowledged recently. */
  handleTick(now: number): void {
    if (now - this.acknowledgedSentAt >= leaderTimings.heartbeatMs) {
      this.stateWriter.queueWrite(leaderKeys.recordKey, () => this.options.formatLeaderRecord(false));
    }
  }

  /** Queues a write of the load digest. */
  queueLoad(digest: string): void {
    this.stateWriter.queueWrite(loadKeys.digestKey, () => digest);
  }

  /** Flushes queued progress, then writes that another box may lead. Resolves after a time limit if the log is unavailable. */
  async writeResignation(): Promise<void> {
    await this.progressWriter.waitForFlush(RESIGN_TIMEOUT_MS);
    this.stateWriter.queueWrite(leaderKeys.recordKey, () => this.options.formatLeaderRecord(true));
    await this.stateWriter.waitForFlush(RESIGN_TIMEOUT_MS);
  }

  /** Retries appends that are pending since the log's outage. */
  retryPending(): void {
    this.progressWriter.retryPendingAppend();
    this.stateWriter.retryPendingAppend();
  }

  stop(): void {
    this.progressWriter.stop();
    this.stateWriter.stop();
  }

  private createWriter(topic: string, handleConfirmed: (sentAt: number) => void): ExclusiveWriter {
    const { client, clock, epoch, logger, maxAppendBytes, handleFenced, handleLogRecovered } = this.options;
    return new ExclusiveWriter({
      client,
      topic,
      clock,
      producer: leaderKeys.producer,
      epoch,
      lastSequence: leaderKeys.claimSequence,
      lingerMs: LINGER_MS,
      maxBatchBytes: maxAppendBytes,
      handleFenced,
      handleConfirmed,
      handleConnection: (isConnected, detail, sentAt) => {
        const message = isConnected ? 'Writes to the log succeed again.' : 'Writes to the log fail.';
        logger.info(message, { topic, detail });
        if (isConnected) {
          handleLogRecovered(sentAt);
        }
      },
    });
  }
}
