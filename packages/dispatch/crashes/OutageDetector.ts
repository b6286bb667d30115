import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from '../endpoints/EndpointState';
import { isPastStartup } from './isPastStartup';

/** An endpoint that became unreachable. */
interface UnreachableEvent {
  /** Monotonic time of the first poll without a response. */
  readonly unreachableAt: number;
  /** True when a run was in its startup there, and may be the cause. */
  readonly hasStartingRun: boolean;
}

/** Longest difference between the first unanswered polls of endpoints that fail together. */
const MAX_COINCIDENCE_MS = 300;
/** Longer than it takes to know that an endpoint has ended: its machine is back, or its lease has expired. */
const EVENT_RETENTION_MS = 60_000;

/**
 * Detects outages that hit several endpoints. If another endpoint became unreachable at the same time without a starting run, the cause is external,
 * and not a task.
 */
export class OutageDetector {
  /** Newest event of each endpoint that has not responded since. */
  private readonly unreachableEvents = new Map<EndpointIncarnation, UnreachableEvent>();

  /** Records that an endpoint became unreachable. Ignores one that has never responded to this leader, as the time is unknown. */
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

  /** Removes the event of an endpoint that responds again, and has not crashed. */
  handleReachable(incarnation: EndpointIncarnation): void {
    this.unreachableEvents.delete(incarnation);
  }

  /** Returns true when the endpoint became unreachable in an outage. */
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
