import type { EndedTaskStatus } from '../endpoints/EndedTaskStatus';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { LossCause } from './LossCause';

/** Loss cause by the kind of end that an endpoint reported, for runs that this leader didn't stop; undefined for no loss. */
const CAUSES_BY_REPORTED_END: Readonly<Record<EndedTaskStatus['how'], LossCause | undefined>> = {
  done: undefined,
  failed: undefined,
  stopped: 'notWanted',
  broken: 'gangBroken',
  alone: 'alone',
  lapsed: 'lapsed',
};

/**
 * Returns the cause by which an interrupted run was lost: the cause of the leader's stop, else the cause by the reported end, else
 * `endpointLost` if the incarnation has ended or the lease has expired. Returns undefined for a run that completed or failed, or for which
 * none of these holds, such as one that never started.
 */
export const getLossCause = (
  run: PlacedRun,
  { outcome, evidence, reportedEnd }: RunEnd,
): LossCause | undefined => {
  if (outcome !== 'interrupted') {
    return undefined;
  }
  if (run.stopCause !== undefined) {
    return run.stopCause;
  }
  if (reportedEnd !== undefined) {
    return CAUSES_BY_REPORTED_END[reportedEnd];
  }
  return evidence === 'lifeOver' || evidence === 'leaseOver' ? 'endpointLost' : undefined;
};
