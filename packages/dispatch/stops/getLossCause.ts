import type { EndedTaskStatus } from '../endpoints/EndedTaskStatus';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { LossCause } from './LossCause';

/** Loss causes of ends that an endpoint reports without a stop by this leader. */
const UNREQUESTED_CAUSES: Readonly<Record<EndedTaskStatus['how'], LossCause | undefined>> = {
  done: undefined,
  failed: undefined,
  stopped: 'notWanted',
  broken: 'gangBroken',
  alone: 'alone',
  lapsed: 'lapsed',
};

/** Returns the cause by which an interrupted run was lost; undefined for one that ended by itself, or never began. */
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
    return UNREQUESTED_CAUSES[reportedEnd];
  }
  return evidence === 'lifeOver' || evidence === 'leaseOver' ? 'endpointLost' : undefined;
};
