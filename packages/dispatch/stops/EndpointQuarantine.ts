import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { EndpointState } from '../endpoints/EndpointState';

/** A task that is to be placed. */
interface Candidate {
  readonly isGang: boolean;
  /** Runs of it that have failed. */
  readonly failures: number;
}

/** Where more than this share of a service's endpoints fail all they start, the work is at fault, and all stay open. */
const MAX_CLOSED_SHARE = 0.25;

/**
 * Keeps work off endpoints that fail all that they start. Such an endpoint always has room, since it ends at once what comes; while room is short
 * elsewhere, everything would go there and use up its attempts. A single run at a time, of a task that has all its attempts, shows when it
 * works again.
 */
export class EndpointQuarantine {
  /** Services with too many such endpoints, for the round. */
  private readonly excused = new Map<ServiceName, boolean>();

  constructor(
    private readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>,
    /** False to trust all alike. */
    private readonly isClosing: boolean,
  ) {}

  /** Forgets what was worked out before. */
  clearCache(): void {
    this.excused.clear();
  }

  /** True when a task may go to the endpoint, as far as its failures matter. */
  isOpenFor(candidate: Candidate, book: EndpointState, now: number): boolean {
    const streak = book.getFailureStreak();
    if (!this.isClosing || !streak.isFailing() || this.isExcused(book.getProfile().service)) {
      return true;
    }
    const mayProbe = !candidate.isGang && candidate.failures === 0 && now >= streak.readProbeAt();
    return mayProbe && !this.isProbed(book);
  }

  /** True while a run that was placed after the newest failure has not ended. */
  private isProbed(book: EndpointState): boolean {
    const failedAt = book.getFailureStreak().readFailedAt();
    return [...book.getRuns()].some((run) => run.placedAt >= failedAt);
  }

  private isExcused(service: ServiceName): boolean {
    const known = this.excused.get(service);
    if (known !== undefined) {
      return known;
    }
    const usable = [...this.books.values()].filter(
      (book) => book.isSchedulable() && book.getProfile().service === service,
    );
    const broken = usable.filter((book) => book.getFailureStreak().isFailing());
    const isExcused = broken.length > usable.length * MAX_CLOSED_SHARE;
    this.excused.set(service, isExcused);
    return isExcused;
  }
}
