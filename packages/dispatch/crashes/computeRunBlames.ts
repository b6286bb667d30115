import type { CrashBlame } from '../../jobs/CrashBlame';
import type { PlacedRun } from '../runs/PlacedRun';
import { isPastStartup } from './isPastStartup';

interface RunBlame {
  readonly run: PlacedRun;
  readonly blame: CrashBlame;
}

interface RunBlamesInput {
  /** Runs that may have been on the endpoint when it crashed. */
  readonly runs: readonly PlacedRun[];
  /** True when the endpoint became unreachable in an outage. */
  readonly isOutage: boolean;
  /** Returns true when the run's task is a crash suspect. */
  readonly isSuspect: (run: PlacedRun) => boolean;
  /** Returns a key that the members of a gang share, as they count as one task; any other task has a key of its own. */
  readonly getGangKey: (run: PlacedRun) => string;
}

/**
 * Computes the degree of blame of each run for the crash of its endpoint. A task that crashes its endpoint usually does so during startup: the
 * crash suspects among the starting runs are to blame, or all starting runs when there is no suspect among them. All other runs, and in an
 * outage all runs, only count as present. The blame is sole for a single task or gang, otherwise shared; for a run of an earlier leader that no
 * status has confirmed, it is inherited. Blaming all runs that were there would fail healthy jobs (docs/decisions/0015).
 */
export const computeRunBlames = ({
  runs,
  isOutage,
  isSuspect,
  getGangKey,
}: RunBlamesInput): readonly RunBlame[] => {
  const starting = isOutage ? [] : runs.filter((run) => !isPastStartup(run));
  const suspects = starting.filter(isSuspect);
  const likely = suspects.length > 0 ? suspects : starting;
  const blame = new Set(likely.map(getGangKey)).size === 1 ? 'sole' : 'shared';
  const blamed = likely.map((run): RunBlame => ({
    run,
    blame: run.stage === 'unconfirmed' ? 'inherited' : blame,
  }));
  const present = runs
    .filter((run) => !likely.includes(run))
    .map((run): RunBlame => ({ run, blame: 'present' }));
  return [...blamed, ...present];
};
