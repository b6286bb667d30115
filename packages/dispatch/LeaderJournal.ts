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
  /** A newer leader has been seen. */
  readonly handleFenced: (detail: string) => void;
  /** The log has answered, after it had not, a call that was sent at a monotonic time. */
  readonly handleLogRecovered: (answeredSentAt: number) => void;
}

/** Changes gathered for one append: a start waits so much longer, a small part of any objective, and the log gets fewer calls. */
const GATHER_MS = 8;
const RESIGN_TIMEOUT_MS = 600;

/** Everything that a leader writes to the log: progress first, then the states that follow from it, and signs of itself. */
export class LeaderJournal {
  /** Nothing starts, and no end is acknowledged, before it is durable here. */
  private readonly progressWriter: ExclusiveWriter;
  private readonly stateWriter: ExclusiveWriter;
  /** When the newest answered write to the topic that the other boxes follow was sent. */
  private shownAt: number;

  constructor(private readonly options: LeaderJournalOptions) {
    this.shownAt = options.claimedAt;
    this.progressWriter = this.createWriter(options.progressTopic, () => undefined);
    this.stateWriter = this.createWriter(options.statesTopic, (sentAt) => {
      this.shownAt = Math.max(this.shownAt, sentAt);
    });
  }

  /**
   * True while so little time has certainly passed since the newest write was sent that the other boxes can have read. The next leader counts
   * from what it has read how long leases may last, so nothing else may lengthen them; nor may a suspension of this machine.
   */
  isAcknowledgedWithin(limitMs: number): boolean {
    return this.options.clock.readLongestSince(this.shownAt) < limitMs;
  }

  /** How long the log has not taken writes, in milliseconds. */
  readFailingMs(): number {
    return Math.max(this.progressWriter.getOutageMs(), this.stateWriter.getOutageMs());
  }

  /** How long the log has not taken progress, without which nothing starts, in milliseconds. */
  readProgressFailingMs(): number {
    return this.progressWriter.getOutageMs();
  }

  /** Writes the progress of a job as it is when the append is made, then its state. */
  queueProgress(definition: JobDefinition, progress: JobProgress, handleWritten?: () => void): void {
    let writtenState: JobState | undefined;
    const formatValue = (): string => {
      writtenState = progress.getState();
      return formatProgress(definition, progress);
    };
    this.progressWriter.queueWrite(jobKeys.toProgressKey(definition.id), formatValue, () => {
      // Of several changes in one append only the last was formatted; the others are part of it.
      if (writtenState !== undefined) {
        this.queueState(definition.id, writtenState);
      }
      handleWritten?.();
    });
  }

  /** Writes the state of a job whose progress is durable, unless it stands there. */
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
  startFlush(): Promise<void> {
    return new Promise((resolve) => this.progressWriter.queueBarrier(resolve));
  }

  /** Shows the other boxes that this leader is there, when nothing else has of late. */
  handleTick(now: number): void {
    if (now - this.shownAt >= leaderTimings.heartbeatMs) {
      this.stateWriter.queueWrite(leaderKeys.recordKey, () => this.options.formatLeaderRecord(false));
    }
  }

  /** Tells the other boxes of the load. */
  queueLoad(digest: string): void {
    this.stateWriter.queueWrite(loadKeys.digestKey, () => digest);
  }

  /** Writes what is queued, then the word that another may lead. */
  async startResigning(): Promise<void> {
    await this.progressWriter.waitForFlush(RESIGN_TIMEOUT_MS);
    this.stateWriter.queueWrite(leaderKeys.recordKey, () => this.options.formatLeaderRecord(true));
    await this.stateWriter.waitForFlush(RESIGN_TIMEOUT_MS);
  }

  /** The log is known to answer again: appends that wait for an answer since it went out are made once more. */
  startAgain(): void {
    this.progressWriter.retryPending();
    this.stateWriter.retryPending();
  }

  stop(): void {
    this.progressWriter.stop();
    this.stateWriter.stop();
  }

  private createWriter(topic: string, handleConfirmed: (sentAt: number) => void): ExclusiveWriter {
    const {
      client,
      clock,
      epoch,
      logger,
      maxAppendBytes,
      handleFenced,
      handleLogRecovered: handleLogBack,
    } = this.options;
    return new ExclusiveWriter({
      client,
      topic,
      clock,
      producer: leaderKeys.producer,
      epoch,
      lastSequence: leaderKeys.claimSequence,
      lingerMs: GATHER_MS,
      maxBytes: maxAppendBytes,
      handleFenced,
      handleConfirmed,
      handleConnection: (isConnected, detail, sentAt) => {
        const sentence = isConnected ? 'The log takes writes again.' : 'The log takes no writes.';
        logger.info(sentence, { topic, detail });
        if (isConnected) {
          handleLogBack(sentAt);
        }
      },
    });
  }
}
