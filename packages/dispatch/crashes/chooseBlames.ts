import type { CrashBlame } from '../../jobs/CrashBlame';
import type { PlacedRun } from '../runs/PlacedRun';
import { isPastStartup } from './isPastStartup';

interface RunBlame {
  readonly run: PlacedRun;
  readonly blame: CrashBlame;
}

interface BlamesInput {
  /** All that may have run on the endpoint when it ended. */
  readonly runs: readonly PlacedRun[];
  /** Others that nothing had just begun on fell silent at the same moment. */
  readonly isOutage: boolean;
  /** Tells whether the run's task is under suspicion for an earlier crash. */
  readonly isSuspect: (run: PlacedRun) => boolean;
  /** Members of a gang start together and count as one. */
  readonly getGroup: (run: PlacedRun) => string;
}

/**
 * Shares out the blame for an endpoint that ended. Tasks end their endpoints as they start, and are rare: of the runs that had just begun
 * those under suspicion are likelier than the others. All that are not likely are noted as present, for the task that ends its endpoint
 * late or was beside a likelier one each time; in an outage these are all. Whoever charges all that ran there gives up sound work: see
 * docs/decisions/0015.
 */
export const chooseBlames = ({
  runs,
  isOutage,
  isSuspect,
  getGroup: toGroup,
}: BlamesInput): readonly RunBlame[] => {
  const begun = isOutage ? [] : runs.filter((run) => !isPastStartup(run));
  const suspects = begun.filter(isSuspect);
  const likely = suspects.length > 0 ? suspects : begun;
  const blame = new Set(likely.map(toGroup)).size === 1 ? 'sole' : 'shared';
  const charges = likely.map((run): RunBlame => ({
    run,
    blame: run.stage === 'unconfirmed' ? 'inherited' : blame,
  }));
  const present = runs
    .filter((run) => !likely.includes(run))
    .map((run): RunBlame => ({ run, blame: 'present' }));
  return [...charges, ...present];
};
