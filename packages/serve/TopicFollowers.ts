import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { Random } from '../common/Random';
import type { LogClient } from '../store/LogClient';
import { LogFollower } from '../store/LogFollower';
import type { LogRecord } from '../store/LogRecord';
import { topics } from './topics';

interface TopicFollowersOptions {
  readonly log: LogClient;
  readonly operatorTopic: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly handleJobs: (records: readonly LogRecord[]) => void;
  readonly handleStates: (records: readonly LogRecord[]) => void;
  readonly handleOperator: (records: readonly LogRecord[]) => void;
  /** Handles a change of whether the states topic can be read. */
  readonly handleStatesConnection: (isConnected: boolean) => void;
  /** Handles the first response of the log after an outage; its request was sent at a monotonic time. */
  readonly handleLogRecovered: (sentAt: number) => void;
}

interface PollInterval {
  /** Pause between two reads, in milliseconds. */
  readonly pauseMs: number;
  /** Milliseconds for which a read waits for a record. */
  readonly pollWaitMs: number;
}

const STATES_INTERVAL: PollInterval = { pauseMs: 350, pollWaitMs: 500 };
/** Less frequent, because a request for an unknown job triggers a read. */
const JOBS_INTERVAL: PollInterval = { pauseMs: 1000, pollWaitMs: 1000 };
/** An outage is detected within this time plus the timeout of a request. */
const OPERATOR_INTERVAL: PollInterval = { pauseMs: 0, pollWaitMs: 800 };
const LEADER_PAUSE_MS = 0;

/** Followers of the log topics. They start one after the other, each once the previous one has read its topic to the end. */
export class TopicFollowers {
  readonly jobs: LogFollower;
  readonly states: LogFollower;
  readonly operator: LogFollower;
  /** Followers to be started, most urgent first. On a narrow link, sequential reads complete the first topic sooner. */
  private readonly unstarted: LogFollower[];

  constructor(private readonly options: TopicFollowersOptions) {
    const { operatorTopic, handleJobs, handleStates, handleOperator } = options;
    this.jobs = this.createFollower(topics.jobs, JOBS_INTERVAL, handleJobs);
    this.states = this.createFollower(topics.states, STATES_INTERVAL, handleStates);
    this.operator = this.createFollower(operatorTopic, OPERATOR_INTERVAL, handleOperator);
    this.unstarted = [this.operator, this.states, this.jobs];
  }

  /** Starts the next follower, if any is left. */
  startNextFollower(): void {
    void this.unstarted.shift()?.start();
  }

  stop(): void {
    this.jobs.stop();
    this.states.stop();
    this.operator.stop();
  }

  /** Stops following the states, which the leader writes itself, and follows jobs without a pause. */
  startLeading(): void {
    this.states.stop();
    this.jobs.setPause(LEADER_PAUSE_MS);
  }

  /** Follows states and jobs as a box that does not lead. */
  stopLeading(): void {
    this.jobs.setPause(JOBS_INTERVAL.pauseMs);
    void this.states.start();
  }

  /**
   * Returns whether all topics that this box follows can be read. The jobs topic need not have been read to the end, since a box can
   * accept new jobs before that.
   */
  isReadable(isLeading: boolean): boolean {
    const isFollowingStates = isLeading || this.states.isUpToDate();
    return isFollowingStates && this.jobs.isLogReachable() && this.operator.isUpToDate();
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
    const { log, clock, random, logger, handleStatesConnection, handleLogRecovered } = this.options;
    return new LogFollower({
      client: log,
      topic,
      clock,
      random,
      ...interval,
      handleRecords,
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
