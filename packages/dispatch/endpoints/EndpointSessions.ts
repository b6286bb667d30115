import type { Clock } from '../../common/Clock';
import type { Logger } from '../../common/Logger';
import type { Random } from '../../common/Random';
import type { Result } from '../../common/Result';
import { TimeSlices } from '../../common/TimeSlices';
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

type StatusResult = Extract<PollResult, { kind: 'held' }>;

interface EndpointSessionsOptions {
  readonly epoch: number;
  readonly client: LogClient;
  /** Topic with the endpoints' records. */
  readonly topic: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly dispatcher: Dispatcher;
  readonly parseEndpoint: (id: string, text: string) => Result<EndpointProfile, string>;
  readonly createEndpointClient: (profile: EndpointProfile, getToken: () => number) => EndpointClient;
  /** Returns true for a service that some queue uses. Endpoints of other services are not polled. */
  readonly isServiceUsed: (service: ServiceName) => boolean;
  /** Returns true while this leader may grant leases. */
  readonly canGrantLeases: () => boolean;
  /** Called when the dispatcher has applied a status, with the number of ends that are new. */
  readonly handleStatusApplied: (newEndCount: number) => void;
  /** Resolves once all ends that have been applied are durable. */
  readonly waitForFlush: () => Promise<void>;
  readonly recordCount: (name: 'unanswered' | 'livesBegun' | 'recordsRefused') => void;
  /** Called after a change of endpoints that may let waiting tasks start. */
  readonly handleSchedulingChange: () => void;
  /** Called when an endpoint has seen the token of a newer leader. */
  readonly handleNewerLeader: (detail: string) => void;
  /** Called when the topic can be read, at first or again, with the monotonic time at which the successful read was sent. */
  readonly handleLogRecovered: (answeredSentAt: number) => void;
}

const isSameCapacity = (left: TaskDemand, right: TaskDemand): boolean =>
  resourceMath.isWithin(left, right) && resourceMath.isWithin(right, left);

/**
 * Finds endpoints by their records and their incarnations by responses, and keeps a session with each incarnation once the leader has taken over.
 * Sequence numbers, leases and clocks belong to one incarnation: if they carried over to the next, ends that it has never listed would be
 * acknowledged, and tasks that are done would run again.
 */
export class EndpointSessions {
  private readonly knownEndpoints = new Map<EndpointId, KnownEndpoint>();
  private readonly sessions = new Map<EndpointIncarnation, EndpointSession>();
  private readonly endpointRecords: EndpointRecords;
  /** Endpoints of services that no queue uses. */
  private readonly unusedEndpoints = new Set<EndpointId>();
  /** True from `startSessions` to `stop`, while sessions may be started. */
  private canStartSessions = false;

  constructor(private readonly options: EndpointSessionsOptions) {
    this.endpointRecords = new EndpointRecords({
      ...options,
      handleProfile: (profile) => this.handleProfile(profile),
      handleRecordRemoval: (id) => this.handleRecordRemoval(id),
      handleInvalidRecord: () => options.recordCount('recordsRefused'),
      handleRecordsRead: () => options.handleSchedulingChange(),
    });
  }

  /** Starts to read the endpoints' records. */
  start(): void {
    this.endpointRecords.start();
  }

  /**
   * Starts sessions with the known endpoints whose service is used, and with each such endpoint that registers from then on. Endpoints with runs come
   * first, as their leases must be renewed; the event loop is left to heartbeats now and then. Resolves once all are started.
   */
  async startSessions(): Promise<void> {
    this.canStartSessions = true;
    const slices = new TimeSlices(this.options.clock);
    for (const id of this.listByRunCount()) {
      if (this.canStartSessions && this.knownEndpoints.has(id)) {
        this.startSessionsFor(id);
        await slices.waitWhenUsedUp();
      }
    }
  }

  /** Returns the known endpoints, those with most runs first. */
  private listByRunCount(): readonly EndpointId[] {
    const countRuns = ({ newestProfile }: KnownEndpoint): number =>
      newestProfile === undefined
        ? 0
        : (this.options.dispatcher.getEndpointState(newestProfile.incarnation)?.countRuns() ?? 0);
    return [...this.knownEndpoints]
      .sort(([, left], [, right]) => countRuns(right) - countRuns(left))
      .map(([id]) => id);
  }

  /** Stops reading records, and all sessions. */
  stop(): void {
    this.canStartSessions = false;
    this.endpointRecords.stop();
    for (const session of this.sessions.values()) {
      session.stop();
    }
  }

  /**
   * Repeats the read of the records at once if the last one failed, or if the pending one was sent before `answeredSentAt`, the time of a call that
   * the log has responded to since.
   */
  retryPendingRead(answeredSentAt: number): void {
    this.endpointRecords.retryPendingRead(answeredSentAt);
  }

  /** Starts sessions with endpoints whose service a queue uses now. */
  startPendingSessions(): void {
    for (const id of [...this.unusedEndpoints]) {
      this.startSessionsFor(id);
    }
  }

  /** Returns true once the endpoints' topic has been read to its end. */
  hasReadRecords(): boolean {
    return this.endpointRecords.hasReadAllRecords();
  }

  /** Returns the number of endpoints with a valid record. */
  countEndpoints(): number {
    return this.endpointRecords.countEndpoints();
  }

  /** Returns the session with an incarnation; undefined before its start, and once the incarnation has ended. */
  getSession(incarnation: EndpointIncarnation): EndpointSession | undefined {
    return this.sessions.get(incarnation);
  }

  /** Returns what is known of an endpoint, and adds an entry for a new one. */
  private getKnownEndpoint(id: EndpointId): KnownEndpoint {
    const known = this.knownEndpoints.get(id) ?? {
      fence: new EndpointFence(this.options.epoch),
      newestProfile: undefined,
      currentIncarnation: undefined,
      fencedFrom: -Infinity,
    };
    this.knownEndpoints.set(id, known);
    return known;
  }

  /**
   * Applies the newest record of an endpoint. If it names another incarnation than the record before, the earlier one is deregistered and the new
   * one polled, but only a response proves that it runs.
   */
  private handleProfile(profile: EndpointProfile): void {
    const { dispatcher } = this.options;
    const known = this.getKnownEndpoint(profile.id);
    const previousProfile = known.newestProfile;
    known.newestProfile = profile;
    if (previousProfile !== undefined && previousProfile.incarnation !== profile.incarnation) {
      dispatcher.handleEndpointDeregistered(previousProfile.incarnation);
    }
    dispatcher.handleEndpointProfile(profile);
    const earlier = known.currentIncarnation ?? previousProfile?.incarnation;
    if (earlier !== undefined && earlier !== profile.incarnation) {
      dispatcher.recordExtendedLease(profile.incarnation, earlier, this.options.clock.getNow());
    }
    this.logProfileChange(previousProfile, profile);
    this.startSessionsFor(profile.id);
    if (previousProfile !== undefined && previousProfile.incarnation !== profile.incarnation) {
      this.removeUnneededIncarnation(previousProfile.incarnation);
    }
  }

  /** Logs a record that is new, or differs from the previous one in incarnation, draining or capacity. */
  private logProfileChange(previousProfile: EndpointProfile | undefined, profile: EndpointProfile): void {
    const { logger } = this.options;
    const { incarnation, service, isDraining, minDrainMs, capacity, hall, labels } = profile;
    if (
      previousProfile === undefined ||
      previousProfile.incarnation !== incarnation ||
      previousProfile.isDraining !== isDraining
    ) {
      logger.info('Endpoint seen.', {
        endpoint: incarnation,
        service,
        hall,
        labels,
        room: capacity,
        isDraining,
        remainingMs: minDrainMs,
      });
    } else if (!isSameCapacity(previousProfile.capacity, capacity)) {
      logger.info('Endpoint capacity changed.', {
        endpoint: incarnation,
        room: capacity,
        before: previousProfile.capacity,
      });
    }
  }

  /** Deregisters the incarnation that the removed record named. Its session and runs go on while it responds. */
  private handleRecordRemoval(id: EndpointId): void {
    const known = this.getKnownEndpoint(id);
    const { newestProfile } = known;
    known.newestProfile = undefined;
    this.unusedEndpoints.delete(id);
    if (newestProfile !== undefined) {
      this.options.dispatcher.handleEndpointDeregistered(newestProfile.incarnation);
      this.removeUnneededIncarnation(newestProfile.incarnation);
    }
  }

  /**
   * Starts sessions, unless there are any, with the current incarnation of an endpoint and with the one that its newest record names. Does nothing
   * without a record, and only notes the endpoint when no queue uses its service and it has no runs.
   */
  private startSessionsFor(id: EndpointId): void {
    const { newestProfile, currentIncarnation } = this.getKnownEndpoint(id);
    if (!this.canStartSessions || newestProfile === undefined) {
      return;
    }
    const isUsed =
      currentIncarnation !== undefined ||
      this.options.isServiceUsed(newestProfile.service) ||
      // Runs that an earlier leader placed go on, though no queue may use the service any more.
      (this.options.dispatcher.getEndpointState(newestProfile.incarnation)?.countRuns() ?? 0) > 0;
    if (!isUsed) {
      this.unusedEndpoints.add(id);
      return;
    }
    this.unusedEndpoints.delete(id);
    this.startSession(newestProfile);
    if (currentIncarnation !== undefined && currentIncarnation !== newestProfile.incarnation) {
      this.startSession({ ...newestProfile, incarnation: currentIncarnation });
    }
  }

  /** Starts a session with an incarnation that has none and is known to the dispatcher. */
  private startSession(profile: EndpointProfile): void {
    const { clock, dispatcher, canGrantLeases, createEndpointClient, handleNewerLeader } = this.options;
    const { id, incarnation } = profile;
    const endpoint = dispatcher.getEndpointState(incarnation);
    if (!this.canStartSessions || this.sessions.has(incarnation) || endpoint === undefined) {
      return;
    }
    const { fence } = this.getKnownEndpoint(id);
    const session = new EndpointSession({
      endpoint,
      client: createEndpointClient(profile, () => fence.getToken()),
      clock,
      canGrantLeases,
      handleResponse: (sentAt) => this.handleResponse(profile, incarnation, sentAt),
      handleStatus: (result, sentAt, newEndCount) =>
        this.handleStatus(incarnation, result, sentAt, newEndCount),
      handleOtherIncarnation: (other, sentAt, leaseMs) =>
        this.handleOtherIncarnation(profile, other, sentAt, leaseMs),
      handleUnreachable: (detail) => this.handleUnreachable(incarnation, detail),
      handleIncarnationGone: () => this.handleIncarnationGone(incarnation),
      handleNewerLeader: () => handleNewerLeader(`endpoint ${incarnation} has accepted a newer leader`),
    });
    this.sessions.set(incarnation, session);
    void session.runPollLoop();
  }

  private stopSession(incarnation: EndpointIncarnation): void {
    this.sessions.get(incarnation)?.stop();
    this.sessions.delete(incarnation);
  }

  /**
   * Handles the response of an incarnation to a poll that was sent at `sentAt`. Makes it the current one, unless the previous one has responded
   * since. Returns false when its status must be ignored: an incarnation that replaces another rejects commands to that one only from its next
   * poll on, which carries the new fencing token.
   */
  private handleResponse(
    profile: EndpointProfile,
    incarnation: EndpointIncarnation,
    sentAt: number,
  ): boolean {
    const known = this.getKnownEndpoint(profile.id);
    const previousIncarnation = known.currentIncarnation;
    if (previousIncarnation === incarnation) {
      return sentAt >= known.fencedFrom;
    }
    const respondedAt =
      previousIncarnation === undefined
        ? undefined
        : this.options.dispatcher.getEndpointState(previousIncarnation)?.getRespondedAt();
    if (respondedAt !== undefined && respondedAt > sentAt) {
      // The previous incarnation has responded since the poll was sent. The next polls show which one runs.
      return false;
    }
    this.applyNewIncarnation(known, profile, incarnation);
    return previousIncarnation === undefined;
  }

  /**
   * Makes an incarnation the current one of its endpoint and starts its session; raises the fencing token if another was current, and ends
   * the others that the dispatcher knows.
   */
  private applyNewIncarnation(
    known: KnownEndpoint,
    profile: EndpointProfile,
    incarnation: EndpointIncarnation,
  ): void {
    const { dispatcher, clock, logger, recordCount, handleSchedulingChange } = this.options;
    const { currentIncarnation: previousIncarnation, newestProfile } = known;
    known.currentIncarnation = incarnation;
    if (previousIncarnation !== undefined) {
      known.fence.recordNextIncarnation();
      known.fencedFrom = clock.getNow();
    }
    if (dispatcher.getEndpointState(incarnation) === undefined) {
      dispatcher.handleEndpointProfile({ ...profile, incarnation });
    }
    if (newestProfile?.incarnation !== incarnation) {
      // Its capacity and kind are unknown until its record has come, and nothing is placed there before.
      dispatcher.handleEndpointDeregistered(incarnation);
    }
    const others = dispatcher.listOtherIncarnations(incarnation);
    const earlierIncarnation = previousIncarnation ?? others[0];
    if (earlierIncarnation !== undefined) {
      dispatcher.recordExtendedLease(incarnation, earlierIncarnation, clock.getNow());
    }
    for (const earlier of others) {
      logger.info('Endpoint has restarted under its id.', {
        endpoint: incarnation,
        before: earlier,
        acknowledged: this.sessions.get(earlier)?.getLastDurableEnd() ?? 0,
        hasRecord: newestProfile?.incarnation === incarnation,
        token: known.fence.getToken(),
      });
      this.stopSession(earlier);
      dispatcher.handleIncarnationEnd(earlier, clock.getNow(), incarnation);
      recordCount('livesBegun');
    }
    this.startSession(
      newestProfile?.incarnation === incarnation ? newestProfile : { ...profile, incarnation },
    );
    if (newestProfile !== undefined && newestProfile.incarnation !== incarnation) {
      // The record may name a later incarnation.
      dispatcher.handleEndpointProfile(newestProfile);
      this.startSession(newestProfile);
    }
    handleSchedulingChange();
  }

  /** Handles a response of another incarnation than the polled one, which is unreachable if it is not replaced by that. */
  private handleOtherIncarnation(
    profile: EndpointProfile,
    other: EndpointIncarnation,
    sentAt: number,
    leaseMs: number | undefined,
  ): void {
    const { clock, logger } = this.options;
    logger.info('Poll reached another incarnation.', {
      endpoint: profile.incarnation,
      other,
      leaseMs: leaseMs ?? 'none',
      tookMs: Math.round(clock.getNow() - sentAt),
    });
    this.handleResponse(profile, other, sentAt);
    if (this.sessions.has(profile.incarnation)) {
      this.handleUnreachable(profile.incarnation, `${other} responded`);
    }
  }

  private handleStatus(
    incarnation: EndpointIncarnation,
    result: StatusResult,
    pollSentAt: number,
    newEndCount: number,
  ): Promise<void> {
    const { clock, dispatcher, logger, handleStatusApplied, waitForFlush } = this.options;
    const endpoint = dispatcher.getEndpointState(incarnation);
    if (endpoint !== undefined && (endpoint.getUnreachableSince() !== undefined || !endpoint.isSynced())) {
      const { hall, labels } = endpoint.getProfile();
      logger.info('Endpoint is reachable.', {
        endpoint: incarnation,
        hall,
        labels,
        running: result.running.length,
        ended: result.ended.length,
      });
    }
    const status = { endpoint: incarnation, running: result.running, ended: result.ended, pollSentAt };
    dispatcher.handleStatus(status, clock.getNow(), clock.getWallTime());
    handleStatusApplied(newEndCount);
    // An earlier status may have brought the same ends, whose records may not be durable yet.
    return result.ended.length === 0 ? Promise.resolve() : waitForFlush();
  }

  private handleUnreachable(incarnation: EndpointIncarnation, detail: string): void {
    const { clock, dispatcher, logger, recordCount } = this.options;
    const endpoint = dispatcher.getEndpointState(incarnation);
    if (endpoint !== undefined && endpoint.getUnreachableSince() === undefined) {
      logger.info('Endpoint is unreachable.', { endpoint: incarnation, detail });
    }
    recordCount('unanswered');
    dispatcher.handleEndpointUnreachable(incarnation, clock.getNow());
    this.removeUnneededIncarnation(incarnation);
  }

  /**
   * Stops the session with an incarnation and removes its state when it has no record and no runs, doesn't respond, and no poll may still confirm
   * that it has crashed.
   */
  private removeUnneededIncarnation(incarnation: EndpointIncarnation): void {
    const { clock, dispatcher } = this.options;
    const id = endpointIncarnations.toEndpointId(incarnation);
    const { newestProfile, currentIncarnation, fence } = this.getKnownEndpoint(id);
    const endpoint = dispatcher.getEndpointState(incarnation);
    const isResponding = incarnation === currentIncarnation && endpoint?.getUnreachableSince() === undefined;
    const hasRuns = (endpoint?.countRuns() ?? 0) > 0;
    if (
      newestProfile?.incarnation === incarnation ||
      isResponding ||
      hasRuns ||
      dispatcher.isCrashUnconfirmed(incarnation, clock.getNow())
    ) {
      return;
    }
    this.stopSession(incarnation);
    dispatcher.removeEndpointState(incarnation);
    // A fencing token that has risen is kept: an incarnation that becomes reachable again would reject a lower one.
    if (
      newestProfile === undefined &&
      !fence.hasTokenRisen() &&
      (currentIncarnation === undefined || currentIncarnation === incarnation)
    ) {
      this.knownEndpoints.delete(id);
    }
  }

  /** Ends an incarnation whose address belongs to another endpoint; no next incarnation is known. */
  private handleIncarnationGone(incarnation: EndpointIncarnation): void {
    const known = this.getKnownEndpoint(endpointIncarnations.toEndpointId(incarnation));
    this.stopSession(incarnation);
    if (known.currentIncarnation === incarnation) {
      known.currentIncarnation = undefined;
    }
    this.options.dispatcher.handleIncarnationEnd(incarnation, this.options.clock.getNow());
    this.options.handleSchedulingChange();
  }
}
