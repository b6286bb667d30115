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
  /** Called with the newest record of a new or changed endpoint. */
  readonly handleRecord: (profile: EndpointProfile) => void;
  /** Called when the endpoint has no valid record any more. */
  readonly handleRecordRemoval: (id: EndpointId) => void;
  /** Called when an invalid record was ignored. */
  readonly handleInvalidRecord: () => void;
  /** Called when all records of a read have been handled. */
  readonly handleRecordsRead: () => void;
  /** Called when the log has recovered, with the monotonic time at which the call that it responded to was sent. */
  readonly handleLogRecovered: (answeredSentAt: number) => void;
}

const READ_RETRY_DELAY_MS = 300;
const LOG_POLL_MS = 1000;
/** Endpoints whose records expired while the log was unavailable register again within this time of its recovery. */
const REREGISTRATION_WAIT_MS = 2000;

/** Follows the topic in which endpoints register. Invalid records, such as those of other writers, are ignored. */
export class EndpointRecords {
  /** Endpoints with a valid record. */
  private readonly registeredEndpoints = new Set<EndpointId>();
  private readonly follower: LogFollower;
  /** Endpoints whose records were removed while the log was unavailable, and may come back. */
  private readonly expiredEndpoints = new Set<EndpointId>();
  /** Monotonic time of the log's newest recovery. */
  private logRecoveredAt = -Infinity;
  private removalTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EndpointRecordsOptions) {
    const { client, topic, clock, random } = options;
    this.follower = new LogFollower({
      client,
      topic,
      clock,
      random,
      pauseMs: READ_RETRY_DELAY_MS,
      pollMs: LOG_POLL_MS,
      handleRecords: (records) => this.handleRecords(records),
      handleConnection: (isConnected, detail, sentAt) => this.handleConnection(isConnected, detail, sentAt),
    });
  }

  start(): void {
    void this.follower.start();
  }

  stop(): void {
    clearTimeout(this.removalTimer);
    this.follower.stop();
  }

  /** Repeats a pending read that was sent before the log's outage ended. */
  retryPendingRead(answeredSentAt: number): void {
    this.follower.retryPending(answeredSentAt);
  }

  /** Returns true once all records have been read. */
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
    this.options.handleRecord(parsed.value);
  }

  private handleConnection(isConnected: boolean, detail: string, sentAt: number): void {
    const { logger, topic } = this.options;
    logger.info(isConnected ? 'Topic can be read.' : 'Topic cannot be read.', { topic, detail });
    if (isConnected) {
      this.logRecoveredAt = this.options.clock.getNow();
      this.scheduleRemoval(REREGISTRATION_WAIT_MS);
      this.options.handleLogRecovered(sentAt);
    }
  }

  private scheduleRemoval(waitMs: number): void {
    clearTimeout(this.removalTimer);
    this.removalTimer = setTimeout(() => this.removeExpiredEndpoints(), waitMs);
  }

  /** Removes the endpoints whose records have not come back. While the log is unavailable again, its next recovery decides. */
  private removeExpiredEndpoints(): void {
    if (!this.follower.isFollowing()) {
      return;
    }
    const remainingMs = this.logRecoveredAt + REREGISTRATION_WAIT_MS - this.options.clock.getNow();
    if (remainingMs > 0) {
      // The timer may fire early by the clock.
      this.scheduleRemoval(remainingMs);
      return;
    }
    for (const id of [...this.expiredEndpoints]) {
      this.removeEndpoint(id);
    }
  }

  /** Returns true until the log has been available long enough for endpoints to register again. */
  private isReregistrationPending(): boolean {
    const availableMs = this.options.clock.getNow() - this.logRecoveredAt;
    return !this.follower.isFollowing() || availableMs < REREGISTRATION_WAIT_MS;
  }

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
