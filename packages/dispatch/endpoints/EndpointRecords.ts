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
  /** Topic in which endpoints keep a record of themselves. */
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  /** On failure says what is wrong with the record. */
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  /** The newest record of an endpoint, for a new one or a changed one. */
  readonly handleRecord: (profile: EndpointProfile) => void;
  /** The endpoint has no record any more that names it. */
  readonly handleRemoval: (id: EndpointId) => void;
  /** A record was passed over, since it does not tell what an endpoint's record has to tell. */
  readonly handleRefusal: () => void;
  /** All records of a read have been handled. */
  readonly handleRead: () => void;
  /** The log has answered, after it had not, a call that was sent at a monotonic time. */
  readonly handleLogBack: (answeredSentAt: number) => void;
}

const PAUSE_MS = 300;
const POLL_MS = 1000;
/** Records that lapsed while the log was away are back within this time of its return, if their endpoints live. */
const RELISTING_MS = 2000;

/**
 * Follows the records that endpoints keep of themselves. What another writer has put there names no endpoint: without that check records with
 * no state, no room or a negative one counted as endpoints to use (trial with records of both kinds).
 */
export class EndpointRecords {
  private readonly known = new Set<EndpointId>();
  private readonly follower: LogFollower;
  /** Records that went while the log was away, and may come back. */
  private readonly lapsed = new Set<EndpointId>();
  /** Monotonic time of the log's newest return. */
  private returnedAt = -Infinity;
  private lapseTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: EndpointRecordsOptions) {
    const { client, topic, clock, random } = options;
    this.follower = new LogFollower({
      client,
      topic,
      clock,
      random,
      pauseMs: PAUSE_MS,
      pollMs: POLL_MS,
      handleRecords: (records) => this.handleRecords(records),
      handleConnection: (isConnected, detail, sentAt) => this.handleConnection(isConnected, detail, sentAt),
    });
  }

  start(): void {
    void this.follower.start();
  }

  stop(): void {
    clearTimeout(this.lapseTimer);
    this.follower.stop();
  }

  /** The log answers again: reads the records anew where the read under way may have gone into the outage. */
  startAgain(answeredSentAt: number): void {
    this.follower.retryPending(answeredSentAt);
  }

  /** True once all records have been read. */
  hasReadAll(): boolean {
    return this.follower.getOffset() !== undefined;
  }

  readCount(): number {
    return this.known.size;
  }

  private handleRecords(records: readonly LogRecord[]): void {
    for (const { key, value } of records) {
      const id = toId<EndpointId>(key);
      if (value === '') {
        this.handleAbsence(id);
      } else {
        this.applyRecord(id, value);
      }
    }
    this.options.handleRead();
  }

  private applyRecord(id: EndpointId, value: string): void {
    const parsed = this.options.parseEndpoint(id, value);
    if (!parsed.ok) {
      this.options.logger.warn('Endpoint record is passed over.', { endpoint: id, reason: parsed.error });
      this.options.handleRefusal();
      this.applyRemoval(id);
      return;
    }
    this.known.add(id);
    this.lapsed.delete(id);
    this.options.handleRecord(parsed.value);
  }

  private handleConnection(isConnected: boolean, detail: string, sentAt: number): void {
    const { logger, topic } = this.options;
    logger.info(isConnected ? 'Topic can be read.' : 'Topic cannot be read.', { topic, detail });
    if (isConnected) {
      this.returnedAt = this.options.clock.readNow();
      this.startLapseTimer(RELISTING_MS);
      this.options.handleLogBack(sentAt);
    }
  }

  private startLapseTimer(waitMs: number): void {
    clearTimeout(this.lapseTimer);
    this.lapseTimer = setTimeout(() => this.applyLapsed(), waitMs);
  }

  /** Takes the endpoints whose records have not come back as gone. While the log is away again, its next return decides. */
  private applyLapsed(): void {
    if (!this.follower.isFollowing()) {
      return;
    }
    const leftMs = this.returnedAt + RELISTING_MS - this.options.clock.readNow();
    if (leftMs > 0) {
      // Timers may fire early by the clock, when the process was busy as it set them.
      this.startLapseTimer(leftMs);
      return;
    }
    for (const id of [...this.lapsed]) {
      this.applyRemoval(id);
    }
  }

  /** True until the log has answered long enough for records that lapsed meanwhile to be back. */
  private isLogReturning(): boolean {
    const answeredMs = this.options.clock.readNow() - this.returnedAt;
    return !this.follower.isFollowing() || answeredMs < RELISTING_MS;
  }

  private handleAbsence(id: EndpointId): void {
    if (this.known.has(id) && this.isLogReturning()) {
      this.options.logger.info('Endpoint record lapsed while the log was away.', { endpoint: id });
      this.lapsed.add(id);
    } else {
      this.applyRemoval(id);
    }
  }

  private applyRemoval(id: EndpointId): void {
    this.lapsed.delete(id);
    if (this.known.delete(id)) {
      this.options.logger.info('Endpoint left.', { endpoint: id });
      this.options.handleRemoval(id);
    }
  }
}
