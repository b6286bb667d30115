import type { Clock } from '../../common/Clock';
import type { Logger } from '../../common/Logger';
import type { Random } from '../../common/Random';
import type { Result } from '../../common/Result';
import { toId } from '../../common/toId';
import type { EndpointId } from '../../jobs/EndpointId';
import type { LogClient } from '../../store/LogClient';
import { LogFollower } from '../../store/LogFollower';
import type { LogRecord } from '../../store/LogRecord';
import type { EndpointProfile } from './EndpointProfile';

interface EndpointRecordsOptions {
  readonly client: LogClient;
  /** Topic with the endpoints' records. */
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** Parses the record of an endpoint; the error names the problem. */
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  /** Called with each valid record that is read. */
  readonly handleProfile: (profile: EndpointProfile) => void;
  /** Called when an endpoint that had a valid record has none any more. While the log is unavailable, and shortly after, this is delayed. */
  readonly handleRecordRemoval: (id: EndpointId) => void;
  /** Called when an invalid record was ignored. */
  readonly handleInvalidRecord: () => void;
  /** Called after the records of one read of the topic have been handled. */
  readonly handleRecordsRead: () => void;
  /** Called when the topic can be read, at first or again, with the monotonic time at which the successful read was sent. */
  readonly handleLogRecovered: (answeredSentAt: number) => void;
}

const READ_RETRY_DELAY_MS = 300;
const LOG_POLL_MS = 1000;
/** Endpoints whose records expired while the log was unavailable register again within this time of its recovery. */
const REREGISTRATION_WAIT_MS = 2000;

/** Follows the topic in which endpoints register. An invalid record counts as none, and is logged. */
export class EndpointRecords {
  /** Endpoints with a valid record. */
  private readonly registeredEndpoints = new Set<EndpointId>();
  private readonly follower: LogFollower;
  /** Endpoints whose records were removed while reregistration was pending, and which may register again. */
  private readonly expiredEndpoints = new Set<EndpointId>();
  /** Monotonic time at which the topic last became readable; -Infinity before the first read. */
  private topicReadableSince = -Infinity;
  private removalTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EndpointRecordsOptions) {
    const { client, topic, clock, random } = options;
    this.follower = new LogFollower({
      client,
      topic,
      clock,
      random,
      pauseMs: READ_RETRY_DELAY_MS,
      pollWaitMs: LOG_POLL_MS,
      handleRecords: (records) => this.handleRecords(records),
      logger: options.logger,
      handleConnection: (isConnected, detail, sentAt) =>
        this.handleLogConnection(isConnected, detail, sentAt),
    });
  }

  /** Starts to follow the topic. */
  start(): void {
    void this.follower.start();
  }

  stop(): void {
    clearTimeout(this.removalTimer);
    this.follower.stop();
  }

  /**
   * Repeats the read of the topic at once if the last one failed, or if the pending one was sent before `answeredSentAt`, the time of a call that the
   * log has responded to since.
   */
  retryPendingRead(answeredSentAt: number): void {
    this.follower.retryPendingRead(answeredSentAt);
  }

  /** Returns true once the endpoints' topic has been read to its end. */
  hasReadAllRecords(): boolean {
    return this.follower.getOffset() !== undefined;
  }

  /** Returns the number of endpoints with a valid record. */
  countEndpoints(): number {
    return this.registeredEndpoints.size;
  }

  private handleRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      const id = toId<EndpointId>(key);
      if (value === '') {
        this.handleDeletion(id);
      } else {
        this.applyRecord(id, value);
      }
    }
    this.options.handleRecordsRead();
  }

  private applyRecord(id: EndpointId, value: string): void {
    const parsed = this.options.parseEndpoint(id, value);
    if (!parsed.ok) {
      this.options.logger.warn('Invalid endpoint record is ignored.', { endpoint: id, reason: parsed.error });
      this.options.handleInvalidRecord();
      this.removeEndpoint(id);
      return;
    }
    this.registeredEndpoints.add(id);
    this.expiredEndpoints.delete(id);
    this.options.handleProfile(parsed.value);
  }

  /** Logs whether the topic can be read. If so, schedules the removal of expired endpoints and reports the recovery. */
  private handleLogConnection(isConnected: boolean, detail: string, sentAt: number): void {
    const { logger, topic } = this.options;
    logger.info(isConnected ? 'Topic can be read.' : 'Topic cannot be read.', { topic, detail });
    if (isConnected) {
      this.topicReadableSince = this.options.clock.getNow();
      this.scheduleRemoval(REREGISTRATION_WAIT_MS);
      this.options.handleLogRecovered(sentAt);
    }
  }

  private scheduleRemoval(waitMs: number): void {
    clearTimeout(this.removalTimer);
    this.removalTimer = setTimeout(() => this.removeExpiredEndpoints(), waitMs);
  }

  /** Removes the endpoints that have not registered again. Does nothing while the log is unavailable: its next recovery schedules the removal again. */
  private removeExpiredEndpoints(): void {
    if (!this.follower.isUpToDate()) {
      return;
    }
    const remainingMs = this.topicReadableSince + REREGISTRATION_WAIT_MS - this.options.clock.getNow();
    if (remainingMs > 0) {
      // The timer may fire early by the clock.
      this.scheduleRemoval(remainingMs);
      return;
    }
    for (const id of [...this.expiredEndpoints]) {
      this.removeEndpoint(id);
    }
  }

  /** Returns true while the log is unavailable, and until endpoints have had time to register again after its recovery. */
  private isReregistrationPending(): boolean {
    const availableMs = this.options.clock.getNow() - this.topicReadableSince;
    return !this.follower.isUpToDate() || availableMs < REREGISTRATION_WAIT_MS;
  }

  /** Removes an endpoint whose record was deleted, or keeps it until `removeExpiredEndpoints` while reregistration is pending. */
  private handleDeletion(id: EndpointId): void {
    if (this.registeredEndpoints.has(id) && this.isReregistrationPending()) {
      this.options.logger.info('Endpoint record expired while the log was unavailable.', { endpoint: id });
      this.expiredEndpoints.add(id);
    } else {
      this.removeEndpoint(id);
    }
  }

  private removeEndpoint(id: EndpointId): void {
    this.expiredEndpoints.delete(id);
    if (this.registeredEndpoints.delete(id)) {
      this.options.logger.info('Endpoint deregistered.', { endpoint: id });
      this.options.handleRecordRemoval(id);
    }
  }
}
