import type { EndedTaskStatus } from '../endpoints/EndedTaskStatus';
import type { PlacedRun } from '../runs/PlacedRun';
import type { RunEnd } from '../runs/RunEnd';
import type { LossCause } from './LossCause';

/** Ends that an endpoint tells and the leader has not asked for. */
const UNASKED: Readonly<Record<EndedTaskStatus['how'], LossCause | undefined>> = {
  done: undefined,
  failed: undefined,
  stopped: 'notWanted',
  broken: 'gangBroken',
  alone: 'alone',
  lapsed: 'lapsed',
};

/** What an interrupted run was lost by; undefined for one that ended by itself, or never began. */
export const getLossCause = (
  run: PlacedRun,
  { outcome, cause, reportedEnd: how }: RunEnd,
): LossCause | undefined => {
  if (outcome !== 'interrupted') {
    return undefined;
  }
  if (run.stopCause !== undefined) {
    return run.stopCause;
  }
  if (how !== undefined) {
    return UNASKED[how];
  }
  return cause === 'lifeOver' || cause === 'leaseOver' ? 'endpointLost' : undefined;
};
