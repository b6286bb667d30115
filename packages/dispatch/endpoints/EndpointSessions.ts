import type { Clock } from '../../common/Clock';
import type { Logger } from '../../common/Logger';
import type { Random } from '../../common/Random';
import type { Result } from '../../common/Result';
import { resourceMath } from '../../jobs/resourceMath';
import type { EndpointId } from '../../jobs/EndpointId';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { ServiceName } from '../../jobs/ServiceName';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { LogClient } from '../../store/LogClient';
import type { Dispatcher } from '../Dispatcher';
import type { EndpointClient } from './EndpointClient';
import { EndpointFence } from './EndpointFence';
import type { EndpointProfile } from './EndpointProfile';
import { EndpointRecords } from './EndpointRecords';
import { EndpointSession } from './EndpointSession';
import type { PollResult } from './PollResult';
import type { KnownEndpoint } from './KnownEndpoint';

type Held = Extract<PollResult, { kind: 'held' }>;

interface EndpointSessionsOptions {
  readonly epoch: number;
  readonly client: LogClient;
  /** Topic in which endpoints keep a record of themselves. */
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly dispatcher: Dispatcher;
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  readonly createEndpointClient: (profile: EndpointProfile, readToken: () => number) => EndpointClient;
  /** True for a service that some queue uses; no other endpoint is called. */
  readonly isServiceUsed: (service: ServiceName) => boolean;
  /** True while this leader may give leases. */
  readonly isRenewing: () => boolean;
  /** The dispatcher has taken in what an endpoint answered, with so many new ends. */
  readonly handleLooked: (newEndCount: number) => void;
  /** Resolves once all ends taken in so far are durable. */
  readonly startFlush: () => Promise<void>;
  readonly recordCount: (name: 'unanswered' | 'livesBegun' | 'recordsRefused') => void;
  /** Something has changed that may let work start. */
  readonly handleChanged: () => void;
  readonly handleFenced: (detail: string) => void;
  /** The log has answered, after it had not, a call that was sent at a monotonic time. */
  readonly handleLogBack: (answeredSentAt: number) => void;
}

const isSameRoom = (left: TaskDemand, right: TaskDemand): boolean =>
  resourceMath.isWithin(left, right) && resourceMath.isWithin(right, left);

/**
 * Knows the endpoints by their records and their lives by their answers, and keeps a session with each life once the leader has taken over.
 * Whatever is kept of an endpoint belongs to one life: an endpoint that had started again under its id was acknowledged ends that no answer had
 * listed, and 173 runs of 300 tasks were begun again after they were done (tests/serve/lives).
 */
export class EndpointSessions {
  private readonly endpoints = new Map<EndpointId, KnownEndpoint>();
  private readonly sessions = new Map<EndpointIncarnation, EndpointSession>();
  private readonly records: EndpointRecords;
  /** Endpoints of services that no queue uses. */
  private readonly unused = new Set<EndpointId>();
  private isOpen = false;

  constructor(private readonly options: EndpointSessionsOptions) {
    this.records = new EndpointRecords({
      ...options,
      handleRecord: (profile) => this.handleRecord(profile),
      handleRemoval: (id) => this.handleRemoval(id),
      handleRefusal: () => options.recordCount('recordsRefused'),
      handleRead: () => options.handleChanged(),
    });
  }

  /** Begins to read the endpoints' records. */
  start(): void {
    this.records.start();
  }

  /** Begins to look at the endpoints, those known and those to come. */
  startSessions(): void {
    this.isOpen = true;
    for (const id of this.endpoints.keys()) {
      this.startSessionsOf(id);
    }
  }

  stop(): void {
    this.isOpen = false;
    this.records.stop();
    for (const session of this.sessions.values()) {
      session.stop();
    }
  }

  /** The log answers again: reads the records anew where the read under way may have gone into the outage. */
  retryPending(answeredSentAt: number): void {
    this.records.startAgain(answeredSentAt);
  }

  /** Begins sessions with endpoints whose service has come into use. */
  startPendingSessions(): void {
    for (const id of [...this.unused]) {
      this.startSessionsOf(id);
    }
  }

  /** True once all records have been read. */
  hasReadAll(): boolean {
    return this.records.hasReadAll();
  }

  countEndpoints(): number {
    return this.records.readCount();
  }

  /** The session with a life; undefined before the first look, and once the life is known to be over. */
  getSession(life: EndpointIncarnation): EndpointSession | undefined {
    return this.sessions.get(life);
  }

  private readKnown(id: EndpointId): KnownEndpoint {
    const known = this.endpoints.get(id) ?? {
      fence: new EndpointFence(this.options.epoch),
      record: undefined,
      current: undefined,
      fencedFrom: -Infinity,
    };
    this.endpoints.set(id, known);
    return known;
  }

  /** Takes in the newest record of an endpoint. One that names another life than the last answered says where to look, and proves nothing. */
  private handleRecord(profile: EndpointProfile): void {
    const { dispatcher } = this.options;
    const known = this.readKnown(profile.id);
    const before = known.record;
    known.record = profile;
    if (before !== undefined && before.incarnation !== profile.incarnation) {
      dispatcher.handleEndpointDeregistered(before.incarnation);
    }
    dispatcher.handleEndpointProfile(profile);
    this.sendProfileLine(before, profile);
    this.startSessionsOf(profile.id);
    if (before !== undefined && before.incarnation !== profile.incarnation) {
      this.applyUnneeded(before.incarnation);
    }
  }

  private sendProfileLine(before: EndpointProfile | undefined, profile: EndpointProfile): void {
    const { logger } = this.options;
    const { incarnation: life, service, isDraining, remainingMs, capacity: room, hall, labels } = profile;
    if (before === undefined || before.incarnation !== life || before.isDraining !== isDraining) {
      logger.info('Endpoint seen.', { endpoint: life, service, hall, labels, room, isDraining, remainingMs });
    } else if (!isSameRoom(before.capacity, room)) {
      logger.info('Endpoint room changed.', { endpoint: life, room, before: before.capacity });
    }
  }

  private handleRemoval(id: EndpointId): void {
    const known = this.readKnown(id);
    const { record } = known;
    known.record = undefined;
    this.unused.delete(id);
    if (record !== undefined) {
      this.options.dispatcher.handleEndpointDeregistered(record.incarnation);
      this.applyUnneeded(record.incarnation);
    }
  }

  /** Keeps a session with the life that answers, and with the one that the newest record names. */
  private startSessionsOf(id: EndpointId): void {
    const { record, current } = this.readKnown(id);
    if (!this.isOpen || record === undefined) {
      return;
    }
    const isUsed = current !== undefined || this.options.isServiceUsed(record.service);
    if (!isUsed) {
      this.unused.add(id);
      return;
    }
    this.unused.delete(id);
    this.startSession(record);
    if (current !== undefined && current !== record.incarnation) {
      this.startSession({ ...record, incarnation: current });
    }
  }

  private startSession(profile: EndpointProfile): void {
    const { clock, dispatcher, isRenewing, createEndpointClient, handleFenced } = this.options;
    const { id, incarnation: life } = profile;
    const book = dispatcher.getEndpointState(life);
    if (!this.isOpen || this.sessions.has(life) || book === undefined) {
      return;
    }
    const { fence } = this.readKnown(id);
    const session = new EndpointSession({
      book,
      client: createEndpointClient(profile, () => fence.readToken()),
      clock,
      isRenewing,
      handleAnswered: (sentAt) => this.handleAnswered(profile, life, sentAt),
      handleHeld: (answer, sentAt, newEndCount) => this.handleHeld(life, answer, sentAt, newEndCount),
      handleOtherLife: (other, sentAt) => this.handleOtherLife(profile, other, sentAt),
      handleSilence: (detail) => this.handleSilence(life, detail),
      handleGone: () => this.handleGone(life),
      handleFenced: () => handleFenced(`endpoint ${life} obeys a newer leader`),
    });
    this.sessions.set(life, session);
    void session.run();
  }

  private stopSession(life: EndpointIncarnation): void {
    this.sessions.get(life)?.stop();
    this.sessions.delete(life);
  }

  /**
   * A life has answered a look that was sent at a time. Returns false when its answer must not be taken in: orders that were meant for the life
   * before are shut out only from the next look on.
   */
  private handleAnswered(profile: EndpointProfile, life: EndpointIncarnation, sentAt: number): boolean {
    const known = this.readKnown(profile.id);
    const before = known.current;
    if (before === life) {
      return sentAt >= known.fencedFrom;
    }
    const heardAt =
      before === undefined ? undefined : this.options.dispatcher.getEndpointState(before)?.readAnsweredAt();
    if (heardAt !== undefined && heardAt > sentAt) {
      // Both have answered since: which of them came later shows with the next look.
      return false;
    }
    this.applyNextLife(known, profile, life);
    return before === undefined;
  }

  /** A life is the one that is there now; all others of its endpoint that are known are over. */
  private applyNextLife(known: KnownEndpoint, profile: EndpointProfile, life: EndpointIncarnation): void {
    const { dispatcher, clock, logger, recordCount, handleChanged } = this.options;
    const { current: before, record } = known;
    known.current = life;
    if (before !== undefined) {
      known.fence.recordNextLife();
      known.fencedFrom = clock.readNow();
    }
    if (dispatcher.getEndpointState(life) === undefined) {
      dispatcher.handleEndpointProfile({ ...profile, incarnation: life });
    }
    if (record?.incarnation !== life) {
      // Its room and kind may be others than those of the life before: nothing is started there until its record has come.
      dispatcher.handleEndpointDeregistered(life);
    }
    for (const earlier of dispatcher.listOtherIncarnations(life)) {
      logger.info('Endpoint has started again under its id.', {
        endpoint: life,
        before: earlier,
        acknowledged: this.sessions.get(earlier)?.readAcknowledged() ?? 0,
        hasRecord: record?.incarnation === life,
        token: known.fence.readToken(),
      });
      this.stopSession(earlier);
      dispatcher.handleIncarnationEnd(earlier, clock.readNow(), life);
      recordCount('livesBegun');
    }
    this.startSession(record?.incarnation === life ? record : { ...profile, incarnation: life });
    if (record !== undefined && record.incarnation !== life) {
      // It may be early, and name the life after this one.
      dispatcher.handleEndpointProfile(record);
      this.startSession(record);
    }
    handleChanged();
  }

  /** Another life has answered where one was asked. */
  private handleOtherLife(profile: EndpointProfile, other: EndpointIncarnation, sentAt: number): void {
    this.handleAnswered(profile, other, sentAt);
    if (this.sessions.has(profile.incarnation)) {
      this.handleSilence(profile.incarnation, `${other} answered`);
    }
  }

  private handleHeld(
    life: EndpointIncarnation,
    answer: Held,
    sentAt: number,
    newEndCount: number,
  ): Promise<void> {
    const { clock, dispatcher, logger, handleLooked, startFlush } = this.options;
    const book = dispatcher.getEndpointState(life);
    if (book !== undefined && (book.getUnreachableSince() !== undefined || !book.isSynced())) {
      const { hall, labels } = book.getProfile();
      logger.info('Endpoint answers.', {
        endpoint: life,
        hall,
        labels,
        running: answer.running.length,
        ended: answer.ended.length,
      });
    }
    const input = { endpoint: life, running: answer.running, ended: answer.ended, sentAt };
    dispatcher.handleStatus(input, clock.readNow(), clock.readWall());
    handleLooked(newEndCount);
    // Another look may have brought the same ends before: they are durable only once its records are.
    return answer.ended.length === 0 ? Promise.resolve() : startFlush();
  }

  private handleSilence(life: EndpointIncarnation, detail: string): void {
    const { clock, dispatcher, logger, recordCount } = this.options;
    const book = dispatcher.getEndpointState(life);
    if (book !== undefined && book.getUnreachableSince() === undefined) {
      logger.info('Endpoint does not answer.', { endpoint: life, detail });
    }
    recordCount('unanswered');
    dispatcher.handleUnreachable(life, clock.readNow());
    this.applyUnneeded(life);
  }

  /** A life that has left, does not answer and runs nothing any more needs no look, unless it may have crashed. */
  private applyUnneeded(life: EndpointIncarnation): void {
    const { clock, dispatcher } = this.options;
    const id = endpointIncarnations.readEndpoint(life);
    const { record, current, fence } = this.readKnown(id);
    const book = dispatcher.getEndpointState(life);
    const isAnswering = life === current && book?.getUnreachableSince() === undefined;
    const hasRuns = (book?.countRuns() ?? 0) > 0;
    if (
      record?.incarnation === life ||
      isAnswering ||
      hasRuns ||
      dispatcher.isCrashUnconfirmed(life, clock.readNow())
    ) {
      return;
    }
    this.stopSession(life);
    dispatcher.removeEndpointState(life);
    // A token that has risen is kept: to a life that is back after a silence a lower one would look like an earlier leader's.
    if (record === undefined && !fence.hasRisen() && (current === undefined || current === life)) {
      this.endpoints.delete(id);
    }
  }

  private handleGone(life: EndpointIncarnation): void {
    const known = this.readKnown(endpointIncarnations.readEndpoint(life));
    this.stopSession(life);
    if (known.current === life) {
      known.current = undefined;
    }
    this.options.dispatcher.handleIncarnationEnd(life, this.options.clock.readNow());
    this.options.handleChanged();
  }
}
