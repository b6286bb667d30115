import { demandSums } from '../../jobs/demandSums';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { EndpointBook } from '../endpoints/EndpointBook';
import { readRemainingMs } from '../runs/readRemainingMs';

/** Room of endpoints that frees itself within some time, by how far the runs there have come. Holds for one round of placement. */
export class ExpectedRoom {
  /** By the time within which it frees itself, then by endpoint. */
  private readonly known = new Map<number, Map<EndpointBook, TaskDemand>>();

  /** Forgets what was worked out before. */
  startRound(): void {
    this.known.clear();
  }

  /** Room of the runs that are expected to end within `withinMs`. */
  readEnding(book: EndpointBook, withinMs: number, now: number): TaskDemand {
    const byBook = this.known.get(withinMs) ?? new Map<EndpointBook, TaskDemand>();
    this.known.set(withinMs, byBook);
    let ending = byBook.get(book);
    if (ending === undefined) {
      ending = this.measureEnding(book, withinMs, now);
      byBook.set(book, ending);
    }
    return ending;
  }

  private measureEnding(book: EndpointBook, withinMs: number, now: number): TaskDemand {
    let ending = demandSums.NOTHING;
    for (const run of book.readRuns()) {
      const isEnding = run.stage === 'stopping' || readRemainingMs(run, Infinity, now) <= withinMs;
      if (isEnding) {
        ending = demandSums.toSum(ending, run.demand);
      }
    }
    return ending;
  }
}
