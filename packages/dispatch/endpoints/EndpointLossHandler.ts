import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { leaderTimings } from '../../leadership/leaderTimings';
import type { CrashTracker } from '../crashes/CrashTracker';
import type { RunEnd } from '../runs/RunEnd';
import type { RunTracker } from '../runs/RunTracker';
import type { EndpointState } from './EndpointState';
import { formatLifeEnd } from './formatLifeEnd';

interface LifeEndsOptions {
  readonly books: Map<EndpointIncarnation, EndpointState>;
  readonly ledger: RunTracker;
  readonly crashes: CrashTracker;
  /** Longest lease that an endpoint grants, in milliseconds. */
  readonly longestLeaseMs: number;
}

const LIFE_OVER: RunEnd = { outcome: 'interrupted', cause: 'lifeOver', checkpoint: '' };
const LEASE_OVER: RunEnd = { outcome: 'interrupted', cause: 'leaseOver', checkpoint: '' };

/** Ends what ran on endpoints whose life or lease is over. */
export class EndpointLossHandler {
  constructor(private readonly options: LifeEndsOptions) {}

  /**
   * A life is over, so that nothing that it has listed runs any more. What was sent to it and never listed may have reached the life after it,
   * or reach it still: it goes into that life's books, and the first look there that shuts out earlier orders tells what became of it.
   */
  handleIncarnationEnd(life: EndpointIncarnation, now: number, next?: EndpointIncarnation): void {
    const { books, ledger, crashes } = this.options;
    const book = books.get(life);
    if (book === undefined) {
      return;
    }
    const runs = [...book.getRuns()];
    const nextBook = next === undefined ? undefined : books.get(next);
    const carried =
      nextBook === undefined ? [] : runs.filter((run) => run.stage !== 'recording' && !run.isListed);
    const fields = formatLifeEnd(book, runs, now, { next, carriedCount: carried.length });
    ledger.sendLogLine('Endpoint life is over.', fields);
    ledger.sendCount('lifeEnds');
    ledger.sendCount('runsLost', runs.length - carried.length);
    crashes.handleIncarnationEnd(book, runs, now);
    for (const run of runs) {
      if (nextBook !== undefined && carried.includes(run)) {
        ledger.recordTransfer(book, nextBook, run);
      } else {
        ledger.recordRunEnd(book, run, LIFE_OVER, now);
      }
    }
    // A call to the life before may have given the next one a lease by another clock: at most the longest there is.
    const { clockDriftShare, marginMs } = leaderTimings;
    nextBook?.recordLease(now + this.options.longestLeaseMs * (1 + clockDriftShare) + marginMs);
    books.delete(life);
  }

  /** Lets time pass for an endpoint: where it has not been heard, all that was leased there ends with the lease. */
  checkLease(book: EndpointState, now: number): void {
    const isUnheard = book.getUnreachableSince() !== undefined || !book.isSynced();
    if (!isUnheard || now <= book.readLeasedUntil()) {
      return;
    }
    const { ledger, crashes } = this.options;
    const runs = [...book.getRuns()].filter(({ stage }) => stage !== 'recording');
    crashes.handleLapse(book, runs, now);
    for (const run of runs) {
      ledger.sendCount('runsLapsed');
      ledger.recordRunEnd(book, run, LEASE_OVER, now);
    }
  }
}
