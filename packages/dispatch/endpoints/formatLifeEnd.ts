import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { PlacedRun } from '../runs/PlacedRun';
import type { EndpointState } from './EndpointState';

/** A line names at most so many runs; the count is that of all. */
const MAX_NAMED_RUNS = 20;

/** Fields of the line about a life that is over: what was known of it, how old that is, what ran there, and what may have reached the next. */
export const formatLifeEnd = (
  book: EndpointState,
  runs: readonly PlacedRun[],
  now: number,
  { next, carriedCount }: { readonly next: EndpointIncarnation | undefined; readonly carriedCount: number },
): Readonly<Record<string, unknown>> => {
  const { incarnation: life, isDraining } = book.getProfile();
  const answeredAt = book.readAnsweredAt();
  const silentSince = book.getUnreachableSince();
  return {
    endpoint: life,
    isDraining,
    hasRecord: book.hasRecord(),
    unheardMs: answeredAt === undefined ? 'never heard' : Math.round(now - answeredAt),
    silentMs: silentSince === undefined ? 0 : Math.round(now - silentSince),
    next: next ?? 'not known',
    runCount: runs.length,
    carriedCount,
    runs: runs.slice(0, MAX_NAMED_RUNS).map((run) => ({
      task: run.task,
      run: run.run,
      stage: run.stage,
      ageMs: Math.round(now - run.confirmedAt),
      listedAgeMs: Math.round(run.seenAt - run.confirmedAt),
    })),
  };
};
