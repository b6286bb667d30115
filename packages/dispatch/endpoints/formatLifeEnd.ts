import type { PlacedRun } from '../runs/PlacedRun';
import type { EndpointBook } from './EndpointBook';

/** A line names at most so many runs; the count is that of all. */
const MAX_NAMED_RUNS = 20;

/** Fields of the line about an endpoint whose life is over: what was known of it, how old that is, and what ran there. */
export const formatLifeEnd = (
  book: EndpointBook,
  runs: readonly PlacedRun[],
  now: number,
): Readonly<Record<string, unknown>> => {
  const { id, isDraining } = book.readProfile();
  const answeredAt = book.readAnsweredAt();
  const silentSince = book.readSilentSince();
  return {
    endpoint: id,
    isDraining,
    hasRecord: book.hasRecord(),
    unheardMs: answeredAt === undefined ? 'never heard' : Math.round(now - answeredAt),
    silentMs: silentSince === undefined ? 0 : Math.round(now - silentSince),
    runCount: runs.length,
    runs: runs.slice(0, MAX_NAMED_RUNS).map((run) => ({
      task: run.task,
      run: run.run,
      stage: run.stage,
      ageMs: Math.round(now - run.confirmedAt),
      listedAgeMs: Math.round(run.seenAt - run.confirmedAt),
    })),
  };
};
