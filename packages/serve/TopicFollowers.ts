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
  /** The topic of states can be read again, or no longer. */
  readonly handleStatesConnection: (isConnected: boolean) => void;
  /** The log has answered, after it had not, a call that was sent at a monotonic time. */
  readonly handleLogRecovered: (answeredSentAt: number) => void;
}

interface PollInterval {
  /** Pause between two reads. */
  readonly pauseMs: number;
  /** How long a read waits for a record. */
  readonly pollMs: number;
}

const STATES_INTERVAL: PollInterval = { pauseMs: 350, pollMs: 500 };
/** Other boxes read accepted jobs with less haste: whoever is asked for an unknown one reads on at once. */
const JOBS_INTERVAL: PollInterval = { pauseMs: 1000, pollMs: 1000 };
/** A silent log is noticed within this time and a call's, well before a version must be in force. */
const OPERATOR_INTERVAL: PollInterval = { pauseMs: 0, pollMs: 800 };
const LEADER_PAUSE_MS = 0;

/** The topics that a box follows, read one after the other until each is known whole. */
export class TopicFollowers {
  readonly jobs: LogFollower;
  readonly states: LogFollower;
  readonly operator: LogFollower;
  /** Topics that are not read yet, in the order in which a box needs them: a narrow link carries one at a time sooner. */
  private readonly unstarted: LogFollower[];

  constructor(private readonly options: TopicFollowersOptions) {
    const { operatorTopic, handleJobs, handleStates, handleOperator } = options;
    this.jobs = this.createFollower(topics.jobs, JOBS_INTERVAL, handleJobs);
    this.states = this.createFollower(topics.states, STATES_INTERVAL, handleStates);
    this.operator = this.createFollower(operatorTopic, OPERATOR_INTERVAL, handleOperator);
    this.unstarted = [this.operator, this.states, this.jobs];
  }

  /** Begins to read the next topic; called again once that one has been read whole. */
  startNextFollower(): void {
    void this.unstarted.shift()?.start();
  }

  stop(): void {
    this.jobs.stop();
    this.states.stop();
    this.operator.stop();
  }

  /** A leader writes the states itself, and reads jobs without a pause. */
  startLeading(): void {
    this.states.stop();
    this.jobs.setPause(LEADER_PAUSE_MS);
  }

  stopLeading(): void {
    this.jobs.setPause(JOBS_INTERVAL.pauseMs);
    void this.states.start();
  }

  /**
   * True while reads of all topics are answered. A leader does not follow the states. Jobs may still be coming in: a box can take new ones
   * before it knows the others.
   */
  isReadable(isLeading: boolean): boolean {
    const isFollowingStates = isLeading || this.states.isFollowing();
    return isFollowingStates && this.jobs.isReachable() && this.operator.isFollowing();
  }

  /** The log is known to answer calls sent at a monotonic time: whatever still waits for an older one is tried again at once. */
  retryPending(answeredSentAt: number): void {
    this.jobs.retryPending(answeredSentAt);
    this.states.retryPending(answeredSentAt);
    this.operator.retryPending(answeredSentAt);
  }

  private createFollower(
    topic: string,
    interval: PollInterval,
    handleRecords: (records: readonly LogRecord[]) => void,
  ): LogFollower {
    const {
      log,
      clock,
      random,
      logger,
      handleStatesConnection,
      handleLogRecovered,
    } = this.options;
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
