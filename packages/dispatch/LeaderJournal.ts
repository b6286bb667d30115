import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
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
import { logRejectedRecord } from '../store/logRejectedRecord';
import type { LogWrite } from '../store/LogWrite';
import { ProgressRecorder } from './ProgressRecorder';

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
  /** Formats the leader's record; with `isResigned` it says that another box may lead. */
  readonly formatLeaderRecord: (isResigned: boolean) => string;
  /** Called when the leader's record that was formatted last is durable. */
  readonly handleLeaderRecordWritten: () => void;
  /** Called when the log never takes a record of a job's progress. */
  readonly handleUnwritableProgress: (job: JobId) => void;
  /** Called when the log rejects a write since a newer leader has fenced this one. */
  readonly handleFenced: (detail: string) => void;
  /** Called when the log has recovered from an outage, with the monotonic time at which the first successful append was sent. */
  readonly handleLogRecovered: (sentAt: number) => void;
}

/** Delay of an append after the first change, for which further changes are gathered into it. */
const APPEND_LINGER_MS = 8;
const RESIGNATION_FLUSH_TIMEOUT_MS = 600;
/** Time from the sending of one acknowledged write to the acknowledgement of the next above which that one is logged as late. */
const MAX_TIMELY_INTERVAL_MS = 1000;

/**
 * Writes a leader's records: job progress to the progress topic, and job states, heartbeats and load digests to the states topic.
 */
export class LeaderJournal {
  /** Writer of the progress topic. Starts are sent to endpoints, and ends acknowledged to them, only once recorded there. */
  private readonly progressWriter: ExclusiveWriter;
  /** Writer of the states topic. */
  private readonly stateWriter: ExclusiveWriter;
  private readonly progressRecorder: ProgressRecorder;
  private isStopped = false;
  /** Monotonic time at which the newest acknowledged write to the states topic was sent; at first, the claim. */
  private acknowledgedSentAt: number;

  constructor(private readonly options: LeaderJournalOptions) {
    this.acknowledgedSentAt = options.claimedAt;
    this.progressWriter = this.createWriter(options.progressTopic, () => undefined);
    this.stateWriter = this.createWriter(options.statesTopic, (sentAt) => this.recordAcknowledged(sentAt));
    this.progressRecorder = new ProgressRecorder({
      writer: this.progressWriter,
      logger: options.logger,
      queueJobState: (id, state) => this.queueJobState(id, state),
    });
  }

  /**
   * Returns true while certainly less than `limitMs` has passed, including time in which the machine was suspended, since the newest
   * acknowledged write to the states topic was sent.
   */
  hasAckedWriteWithin(limitMs: number): boolean {
    return this.options.clock.getMaxElapsedSince(this.acknowledgedSentAt) < limitMs;
  }

  /** Returns how long writes to either topic have failed, in milliseconds; 0 while both succeed. */
  getLogOutageMs(): number {
    return Math.max(this.progressWriter.getOutageMs(), this.stateWriter.getOutageMs());
  }

  /** Returns how long writes of job progress have failed, in milliseconds; 0 while they succeed. */
  getProgressOutageMs(): number {
    return this.progressWriter.getOutageMs();
  }

  /** Queues a write of a job's progress as it is when the append is sent; once durable, queues its state and calls `handleWritten`. Nothing once stopped. */
  queueJobProgress(definition: JobDefinition, progress: JobProgress, handleWritten?: () => void): void {
    if (!this.isStopped) {
      this.progressRecorder.queueJobProgress(definition, progress, handleWritten);
    }
  }

  /**
   * Queues a write of a job's state, unless the replica has it as written, and sets it in the replica once it is durable. A queued job is not
   * written: an earlier leader may know that it has begun.
   */
  queueJobState(id: JobId, state: JobState): void {
    const { replica } = this.options;
    if (state !== 'queued' && replica.getWrittenState(id) !== state) {
      this.stateWriter.queueWrite(
        jobKeys.toStateKey(id),
        () => state,
        () => replica.setState(id, state),
      );
    }
  }

  /** Resolves once all progress queued so far is durable. */
  waitForProgressFlush(): Promise<void> {
    return new Promise((resolve) => this.progressWriter.queueBarrier(resolve));
  }

  /** Queues a heartbeat if `heartbeatMs` have passed since the newest acknowledged write to the states topic was sent. */
  handleTick(now: number): void {
    if (now - this.acknowledgedSentAt >= leaderTimings.heartbeatMs) {
      this.queueLeaderRecord();
    }
  }

  /** Queues a write of the leader's record, which says until when leases of earlier leaders may run. */
  queueLeaderRecord(): void {
    this.stateWriter.queueWrite(
      leaderKeys.recordKey,
      () => this.options.formatLeaderRecord(false),
      () => this.options.handleLeaderRecordWritten(),
    );
  }

  /** Queues a write of a load digest to the states topic. */
  queueLoadDigest(digest: string): void {
    this.stateWriter.queueWrite(loadKeys.digestKey, () => digest);
  }

  /** Waits until queued progress is durable, then writes a record that another box may lead; each with a timeout. */
  async writeResignation(): Promise<void> {
    await this.progressWriter.waitForFlush(RESIGNATION_FLUSH_TIMEOUT_MS);
    this.stateWriter.queueWrite(leaderKeys.recordKey, () => this.options.formatLeaderRecord(true));
    await this.stateWriter.waitForFlush(RESIGNATION_FLUSH_TIMEOUT_MS);
  }

  /** Retries failed appends to both topics at once, without waiting for the end of their retry delays. */
  retryPendingAppends(): void {
    this.progressWriter.retryPendingAppend();
    this.stateWriter.retryPendingAppend();
  }

  /** Stops both writers, and drops queued writes. */
  stop(): void {
    this.isStopped = true;
    this.progressWriter.stop();
    this.stateWriter.stop();
  }

  /** Records the acknowledgement of a write to the states topic that was sent at a monotonic time, and logs a late one. */
  private recordAcknowledged(sentAt: number): void {
    const { clock, logger } = this.options;
    const sinceLastMs = sentAt - this.acknowledgedSentAt;
    const tookMs = clock.getNow() - sentAt;
    if (sinceLastMs + tookMs > MAX_TIMELY_INTERVAL_MS) {
      logger.info('Heartbeat was late.', {
        sinceLastMs: Math.round(sinceLastMs),
        tookMs: Math.round(tookMs),
      });
    }
    this.acknowledgedSentAt = Math.max(this.acknowledgedSentAt, sentAt);
  }

  /** Logs a record that the log never takes, and reports the job if it is of a job's progress. */
  private handleRejected(topic: string, write: LogWrite, detail: string): void {
    logRejectedRecord(this.options.logger, topic, write, detail);
    const { job } = jobKeys.parseProgressKey(write.key) ?? {};
    if (job !== undefined) {
      this.options.handleUnwritableProgress(job);
    }
  }

  /**
   * Creates a writer of a topic that logs outages and recoveries; `handleConfirmed` gets the time at which an acknowledged write
   * was sent.
   */
  private createWriter(topic: string, handleConfirmed: (sentAt: number) => void): ExclusiveWriter {
    const { client, clock, epoch, logger, maxAppendBytes, handleFenced, handleLogRecovered } = this.options;
    return new ExclusiveWriter({
      client,
      topic,
      clock,
      producer: leaderKeys.producer,
      epoch,
      lastSequence: leaderKeys.claimSequence,
      lingerMs: APPEND_LINGER_MS,
      maxBatchBytes: maxAppendBytes,
      handleFenced,
      handleConfirmed,
      handleRejected: (write, detail) => this.handleRejected(topic, write, detail),
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
