import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { PlacedRun } from '../runs/PlacedRun';
import type { EndpointState } from './EndpointState';

/** Highest number of runs listed in one log line; `runCount` counts all. */
const MAX_LOGGED_RUNS = 20;

/** Creates the log fields for the end of an incarnation: its last known state, its runs, and how many of these were transferred to the next one. */
export const createIncarnationEndFields = (
  state: EndpointState,
  runs: readonly PlacedRun[],
  now: number,
  { next, carriedCount }: { readonly next: EndpointIncarnation | undefined; readonly carriedCount: number },
): Readonly<Record<string, unknown>> => {
  const { incarnation, isDraining } = state.getProfile();
  const respondedAt = state.getRespondedAt();
  const unreachableSince = state.getUnreachableSince();
  return {
    endpoint: incarnation,
    isDraining,
    isPlanned: state.isRemovalPlanned(),
    hasRecord: state.isRegistered(),
    unheardMs: respondedAt === undefined ? 'never heard' : Math.round(now - respondedAt),
    silentMs: unreachableSince === undefined ? 0 : Math.round(now - unreachableSince),
    next: next ?? 'not known',
    runCount: runs.length,
    carriedCount,
    runs: runs.slice(0, MAX_LOGGED_RUNS).map((run) => ({
      task: run.task,
      run: run.run,
      stage: run.stage,
      ageMs: Math.round(now - run.startConfirmedAt),
      listedAgeMs: Math.round(run.lastListedAt - run.startConfirmedAt),
    })),
  };
};
