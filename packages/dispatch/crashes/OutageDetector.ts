import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from '../endpoints/EndpointState';
import { isPastStartup } from './isPastStartup';

/** Time and circumstances of an endpoint's becoming unreachable. */
interface UnreachableEvent {
  /** Monotonic time of the first poll without a response. */
  readonly unreachableAt: number;
  /** True when a run on the endpoint was in its startup, which may be the cause. */
  readonly hasStartingRun: boolean;
}

/** Longest difference between the first unanswered polls of endpoints that fail together. */
const MAX_COINCIDENCE_MS = 300;
/** Time for which events are kept: longer than it takes until the endpoint's next incarnation responds, or its lease has expired. */
const EVENT_RETENTION_MS = 60_000;

/**
 * Detects outages that hit several endpoints. If another endpoint became unreachable at the same time without a starting run, the cause is external,
 * and not a task.
 */
export class OutageDetector {
  /** Newest event of each endpoint that has not responded since, until it is outdated. */
  private readonly unreachableEvents = new Map<EndpointIncarnation, UnreachableEvent>();

  /** Records that an endpoint became unreachable, and removes outdated events. Ignores an endpoint that has never responded to this leader. */
  handleUnreachable(endpoint: EndpointState, now: number): void {
    if (endpoint.getRespondedAt() === undefined) {
      return;
    }
    for (const [incarnation, { unreachableAt }] of this.unreachableEvents) {
      if (now - unreachableAt >= EVENT_RETENTION_MS) {
        this.unreachableEvents.delete(incarnation);
      }
    }
    const hasStartingRun = [...endpoint.getRuns()].some(
      (run) => run.stage !== 'recording' && !isPastStartup(run),
    );
    this.unreachableEvents.set(endpoint.getProfile().incarnation, { unreachableAt: now, hasStartingRun });
  }

  /** Removes the event of an endpoint that responds again. */
  handleReachable(incarnation: EndpointIncarnation): void {
    this.unreachableEvents.delete(incarnation);
  }

  /**
   * Returns true when the endpoint became unreachable in an outage: together with another endpoint on which no run was in its startup. Returns false
   * while the endpoint responds, or when it has never responded to this leader.
   */
  isPartOfOutage(endpoint: EndpointState): boolean {
    const { incarnation } = endpoint.getProfile();
    const unreachableSince = endpoint.getUnreachableSince();
    if (unreachableSince === undefined || endpoint.getRespondedAt() === undefined) {
      return false;
    }
    return [...this.unreachableEvents].some(
      ([other, { unreachableAt, hasStartingRun }]) =>
        other !== incarnation &&
        !hasStartingRun &&
        Math.abs(unreachableAt - unreachableSince) <= MAX_COINCIDENCE_MS,
    );
  }
}
