import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointState } from '../endpoints/EndpointState';
import { isPastStartup } from './isPastStartup';

interface Silence {
  /** Monotonic time at which it was noticed. */
  readonly at: number;
  /** Some run had just begun there, and may be its cause. */
  readonly hasBegunRun: boolean;
}

/** Endpoints that are ended together are noticed within this time: a look waits up to 400 ms, and refused ones show at once. */
const SAME_MOMENT_MS = 300;
/** Longer than it takes until the end of an endpoint is known: its machine is back, or its lease has run out. */
const KEPT_MS = 60_000;

/**
 * Tells outages that strike several endpoints from endpoints that a task has ended: where another one fell silent at the same moment on
 * which nothing had just begun, the cause lies outside.
 */
export class OutageWatch {
  /** The newest silence of each endpoint that has not been heard since. */
  private readonly silences = new Map<EndpointIncarnation, Silence>();

  /** An endpoint has fallen silent. When that was is known only of one that this leader has heard. */
  handleSilence(book: EndpointState, now: number): void {
    if (book.readAnsweredAt() === undefined) {
      return;
    }
    for (const [id, { at }] of this.silences) {
      if (now - at >= KEPT_MS) {
        this.silences.delete(id);
      }
    }
    const hasBegunRun = [...book.getRuns()].some((run) => run.stage !== 'recording' && !isPastStartup(run));
    this.silences.set(book.getProfile().incarnation, { at: now, hasBegunRun });
  }

  /** The endpoint is heard again: its silence was none that ended it. */
  handleHeard(id: EndpointIncarnation): void {
    this.silences.delete(id);
  }

  /** True when the endpoint fell silent with others in an outage. */
  isPartOfOutage(book: EndpointState): boolean {
    const { incarnation: id } = book.getProfile();
    const silentSince = book.getUnreachableSince();
    if (silentSince === undefined || book.readAnsweredAt() === undefined) {
      return false;
    }
    return [...this.silences].some(
      ([endpoint, { at, hasBegunRun }]) =>
        endpoint !== id && !hasBegunRun && Math.abs(at - silentSince) <= SAME_MOMENT_MS,
    );
  }
}
