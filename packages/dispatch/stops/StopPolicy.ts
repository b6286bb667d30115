import type { EvictionInput } from './EvictionInput';
import type { SlowRunInput } from './SlowRunInput';
import type { MoveReason } from './MoveReason';
import type { PreemptionRules } from './PreemptionRules';

/** Rules for the stops of runs. */
export interface StopPolicy {
  /** Returns whether a run, or a gang, is to be evicted now from a draining endpoint. */
  readonly isEvictionDue: (input: EvictionInput) => boolean;
  /** Returns why a run is a straggler that should be moved; undefined when it isn't. */
  readonly findMoveReason: (input: SlowRunInput) => Exclude<MoveReason, 'endpointLeaves'> | undefined;
  readonly preemptionRules: PreemptionRules;
  /** Gangs on draining endpoints are evicted, and resume from the newest checkpoint of any member. */
  readonly isEvictingGangs: boolean;
  /** Runs without siblings are compared with the learnt run times. */
  readonly isUsingRunTimes: boolean;
  /** Maximum share of all runs that are moved at the same time as stragglers. */
  readonly maxMovingShare: number;
  /** Endpoints that fail every run are quarantined. */
  readonly isQuarantining: boolean;
}
