import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import type { LogClient } from '../store/LogClient';
import { LogFollower } from '../store/LogFollower';
import type { LogRecord } from '../store/LogRecord';
import { topics } from './topics';

interface TopicFollowersOptions {
  readonly logClient: LogClient;
  readonly operatorTopic: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly handleJobRecords: (records: readonly LogRecord[]) => void;
  readonly handleStateRecords: (records: readonly LogRecord[]) => void;
  readonly handleOperatorRecords: (records: readonly LogRecord[]) => void;
  /** Handles a change of whether the states topic can be read. */
  readonly handleStatesConnection: (isConnected: boolean) => void;
  /** Handles that a topic can be read for the first time or again; the successful request was sent at a monotonic time. */
  readonly handleLogRecovered: (sentAt: number) => void;
}

interface PollInterval {
  /** Pause between two reads, in milliseconds. */
  readonly pauseMs: number;
  /** Milliseconds for which a read waits for a record. */
  readonly pollWaitMs: number;
  /** Pause after each page of the first read, as a multiple of the time that the page took. */
  readonly pagePauseRatio?: number;
}

const STATES_INTERVAL: PollInterval = { pauseMs: 350, pollWaitMs: 500 };
/**
 * Interval of the jobs topic. Longer than that of the states topic, because a request for an unknown job triggers a read. The first read of all jobs
 * leaves most of the link to accepted jobs and other topics; until it is complete, the leader is asked for unknown jobs.
 */
const JOBS_INTERVAL: PollInterval = { pauseMs: 1000, pollWaitMs: 1000, pagePauseRatio: 3 };
/** Interval of the operator topic. Without a pause, so that an outage is detected within the poll time plus the timeout of a request. */
const OPERATOR_INTERVAL: PollInterval = { pauseMs: 0, pollWaitMs: 800 };
/** Pause between two reads of the jobs topic by the leader. */
const LEADER_JOBS_PAUSE_MS = 0;

/** Followers of the log topics. They start one after the other, each once the previous one has read its topic to the end. */
export class TopicFollowers {
  readonly jobs: LogFollower;
  readonly states: LogFollower;
  readonly operator: LogFollower;
  /** Followers to be started, most urgent first. On a narrow link, sequential reads complete the first topic sooner. */
  private readonly unstartedFollowers: LogFollower[];

  constructor(private readonly options: TopicFollowersOptions) {
    const { operatorTopic, handleJobRecords, handleStateRecords, handleOperatorRecords } = options;
    this.jobs = this.createFollower(topics.jobs, JOBS_INTERVAL, handleJobRecords);
    this.states = this.createFollower(topics.states, STATES_INTERVAL, handleStateRecords);
    this.operator = this.createFollower(operatorTopic, OPERATOR_INTERVAL, handleOperatorRecords);
    this.unstartedFollowers = [this.operator, this.states, this.jobs];
  }

  /** Starts the next follower, if any is left. */
  startNextFollower(): void {
    void this.unstartedFollowers.shift()?.start();
  }

  stop(): void {
    this.jobs.stop();
    this.states.stop();
    this.operator.stop();
  }

  /** Stops following the states topic, which the leader writes itself, and follows the jobs topic without a pause. */
  startLeading(): void {
    this.states.stop();
    this.jobs.setPause(LEADER_JOBS_PAUSE_MS);
  }

  /** Follows the states topic again, and the jobs topic with its usual pause. */
  stopLeading(): void {
    this.jobs.setPause(JOBS_INTERVAL.pauseMs);
    void this.states.start();
  }

  /**
   * Returns whether all topics that this box follows can be read. The jobs topic need not have been read to the end, since a box can
   * accept new jobs before that.
   */
  isLogReadable(isLeading: boolean): boolean {
    const isFollowingStates = isLeading || this.states.isUpToDate();
    return isFollowingStates && this.jobs.isLogReachable() && this.operator.isUpToDate();
  }

  /** Reads a topic that this box follows to its end; resolves to false if that fails or takes longer than `timeoutMs`. */
  waitForLogRead(isLeading: boolean, timeoutMs: number): Promise<boolean> {
    // A leader has not read the states since its election: it would read all that it has written, and take older states for newer ones.
    return (isLeading ? this.jobs : this.states).waitForRefresh(timeoutMs);
  }

  /** Retries requests sent before a monotonic time, since the log is known to respond to requests sent then. */
  retryPending(sentAt: number): void {
    this.jobs.retryPendingRead(sentAt);
    this.states.retryPendingRead(sentAt);
    this.operator.retryPendingRead(sentAt);
  }

  private createFollower(
    topic: string,
    interval: PollInterval,
    handleRecords: (records: readonly LogRecord[]) => void,
  ): LogFollower {
    const { logClient, clock, random, logger, handleStatesConnection, handleLogRecovered } = this.options;
    return new LogFollower({
      client: logClient,
      topic,
      clock,
      random,
      ...interval,
      handleRecords,
      logger,
      handleConnection: (isConnected, detail, sentAt) => {
        logger.info(isConnected ? 'Topic can be read.' : 'Topic cannot be read.', { topic, detail });
        if (topic === topics.states) {
          handleStatesConnection(isConnected);
        }
        if (isConnected) {
          this.startNextFollower();
          handleLogRecovered(sentAt);
        }
      },
    });
  }
}
