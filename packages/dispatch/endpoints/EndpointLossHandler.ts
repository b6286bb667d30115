import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import { computeMaxLeaseMs } from '../../leadership/computeMaxLeaseMs';
import type { ExtendedLeases } from '../../leadership/ExtendedLeases';
import type { CrashTracker } from '../crashes/CrashTracker';
import type { DispatchEffect } from '../DispatchEffect';
import type { RunEnd } from '../runs/RunEnd';
import type { RunTracker } from '../runs/RunTracker';
import type { EndpointState } from './EndpointState';
import { createIncarnationEndFields } from './createIncarnationEndFields';

interface EndpointLossHandlerOptions {
  readonly endpoints: Map<EndpointIncarnation, EndpointState>;
  readonly tracker: RunTracker;
  readonly crashes: CrashTracker;
  readonly extendedLeases: ExtendedLeases;
  /** Longest lease that an endpoint accepts, in milliseconds. */
  readonly longestLeaseMs: number;
  readonly sendEffect: (effect: DispatchEffect) => void;
}

const INCARNATION_ENDED: RunEnd = { outcome: 'interrupted', evidence: 'lifeOver', checkpoint: '' };
const LEASE_EXPIRED: RunEnd = { outcome: 'interrupted', evidence: 'leaseOver', checkpoint: '' };

/** Ends the runs of endpoints whose incarnation has ended or whose lease has expired. */
export class EndpointLossHandler {
  constructor(private readonly options: EndpointLossHandlerOptions) {}

  /**
   * Handles the end of an incarnation: records its crash, ends its runs and removes its state. When `next` is known, runs that no status has listed
   * are transferred to `next` instead: their start commands may have reached that incarnation, or may still do, until a poll with the new fencing
   * token shows whether they run. Does nothing for an unknown incarnation.
   */
  handleIncarnationEnd(incarnation: EndpointIncarnation, now: number, next?: EndpointIncarnation): void {
    const { endpoints, tracker, crashes } = this.options;
    const endpoint = endpoints.get(incarnation);
    if (endpoint === undefined) {
      return;
    }
    const runs = [...endpoint.getRuns()];
    const nextEndpoint = next === undefined ? undefined : endpoints.get(next);
    const transferred =
      nextEndpoint === undefined ? [] : runs.filter((run) => run.stage !== 'recording' && !run.hasBeenListed);
    const fields = createIncarnationEndFields(endpoint, runs, now, {
      next,
      carriedCount: transferred.length,
    });
    tracker.sendLogLine('Endpoint incarnation has ended.', fields);
    tracker.sendCount('lifeEnds');
    tracker.sendCount('runsLost', runs.length - transferred.length);
    crashes.handleIncarnationEnd(endpoint, runs, now);
    for (const run of runs) {
      if (nextEndpoint !== undefined && transferred.includes(run)) {
        tracker.recordRunTransfer(endpoint, nextEndpoint, run);
      } else {
        tracker.recordRunEnd(endpoint, run, INCARNATION_ENDED, now);
      }
    }
    endpoints.delete(incarnation);
  }

  /**
   * Records that a call to an incarnation may have given the next one a lease by its own clock: the longest that an endpoint accepts. Nothing is placed
   * there until a record of this leader has named the lease, since a later leader would assume the usual length.
   */
  recordExtendedLease(next: EndpointIncarnation, earlier: EndpointIncarnation, now: number): void {
    const { tracker, extendedLeases, longestLeaseMs, sendEffect } = this.options;
    const leaseMs = computeMaxLeaseMs(longestLeaseMs);
    extendedLeases.recordPendingLease(endpointIncarnations.toEndpointId(next), now + leaseMs);
    sendEffect({ kind: 'recordLeases' });
    tracker.sendLogLine('Lease of the next incarnation may be longer.', {
      endpoint: next,
      before: earlier,
      leaseMs: Math.round(leaseMs),
    });
  }

  /**
   * Ends the runs of an endpoint that is unreachable, or not yet synced, once its lease has expired, and records that the endpoint may have crashed.
   * Runs whose start command was not sent go on. Does nothing while the endpoint responds, its lease is valid, or the response to the first poll is
   * pending: it lists how the runs have ended, and a leader that is short of processor time may read it late.
   */
  handleLeaseExpiry(endpoint: EndpointState, now: number): void {
    const isUnreachable = endpoint.getUnreachableSince() !== undefined || !endpoint.isSynced();
    if (!isUnreachable || endpoint.isAwaitingFirstResponse() || now <= endpoint.getLeasedUntil()) {
      return;
    }
    const { tracker, crashes } = this.options;
    const runs = [...endpoint.getRuns()].filter(({ stage }) => stage !== 'recording');
    if (runs.length > 0) {
      tracker.sendLogLine('Lease of an endpoint has expired.', {
        endpoint: endpoint.getProfile().incarnation,
        grantedBy: endpoint.getLeaseGranter(),
        sinceMs: Math.round(now - endpoint.getLeasedUntil()),
        runCount: runs.length,
      });
    }
    crashes.handleLeaseExpiry(endpoint, runs, now);
    for (const run of runs) {
      tracker.sendCount('runsLapsed');
      tracker.recordRunEnd(endpoint, run, LEASE_EXPIRED, now);
    }
  }
}
