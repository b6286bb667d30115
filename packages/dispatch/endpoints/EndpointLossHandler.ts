import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { computeMaxLeaseMs } from '../../leadership/computeMaxLeaseMs';
import type { CrashTracker } from '../crashes/CrashTracker';
import type { RunEnd } from '../runs/RunEnd';
import type { RunTracker } from '../runs/RunTracker';
import type { EndpointState } from './EndpointState';
import { createIncarnationEndFields } from './createIncarnationEndFields';

interface EndpointLossHandlerOptions {
  readonly endpoints: Map<EndpointIncarnation, EndpointState>;
  readonly tracker: RunTracker;
  readonly crashes: CrashTracker;
  /** Longest lease that an endpoint accepts, in milliseconds. */
  readonly longestLeaseMs: number;
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
    // A poll meant for this incarnation may have given the next one a lease, counted by its own clock: assume the longest lease that an
    // endpoint accepts.
    if (nextEndpoint !== undefined) {
      const leaseMs = computeMaxLeaseMs(this.options.longestLeaseMs);
      nextEndpoint.recordLease(now + leaseMs);
      tracker.sendLogLine('Lease of the next incarnation may be longer.', {
        endpoint: next,
        before: incarnation,
        leaseMs: Math.round(leaseMs),
      });
    }
    endpoints.delete(incarnation);
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
