import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from '../endpoints/EndpointState';
import { isPastStartup } from './isPastStartup';

interface UnreachableEvent {
  /** Monotonic time at which it was noticed. */
  readonly at: number;
  /** Some run had just begun there, and may be its cause. */
  readonly hasStartingRun: boolean;
}

/** Endpoints that are ended together are noticed within this time: a look waits up to 400 ms, and refused ones show at once. */
const COINCIDENCE_MS = 300;
/** Longer than it takes until the end of an endpoint is known: its machine is back, or its lease has run out. */
const RETENTION_MS = 60_000;

/**
 * Tells outages that strike several endpoints from endpoints that a task has ended: where another one fell silent at the same moment on
 * which nothing had just begun, the cause lies outside.
 */
export class OutageDetector {
  /** The newest silence of each endpoint that has not been heard since. */
  private readonly events = new Map<EndpointIncarnation, UnreachableEvent>();

  /** An endpoint has fallen silent. When that was is known only of one that this leader has heard. */
  handleUnreachable(book: EndpointState, now: number): void {
    if (book.getRespondedAt() === undefined) {
      return;
    }
    for (const [id, { at }] of this.events) {
      if (now - at >= RETENTION_MS) {
        this.events.delete(id);
      }
    }
    const hasBegunRun = [...book.getRuns()].some((run) => run.stage !== 'recording' && !isPastStartup(run));
    this.events.set(book.getProfile().incarnation, { at: now, hasStartingRun: hasBegunRun });
  }

  /** The endpoint is heard again: its silence was none that ended it. */
  handleReachable(id: EndpointIncarnation): void {
    this.events.delete(id);
  }

  /** True when the endpoint fell silent with others in an outage. */
  isPartOfOutage(book: EndpointState): boolean {
    const { incarnation: id } = book.getProfile();
    const silentSince = book.getUnreachableSince();
    if (silentSince === undefined || book.getRespondedAt() === undefined) {
      return false;
    }
    return [...this.events].some(
      ([endpoint, { at, hasStartingRun: hasBegunRun }]) =>
        endpoint !== id && !hasBegunRun && Math.abs(at - silentSince) <= COINCIDENCE_MS,
    );
  }
}
