import type { EvictionInput } from './EvictionInput';
import type { SlowRunInput } from './SlowRunInput';
import type { MoveReason } from './MoveReason';
import type { PreemptionRules } from './PreemptionRules';

/** Rules by which the leader evicts, moves and preempts runs, and quarantines endpoints. */
export interface StopPolicy {
  /** Returns whether a run is to be evicted now from a draining endpoint. */
  readonly isEvictionDue: (input: EvictionInput) => boolean;
  /** Returns why a run should be moved as a straggler; undefined when it should stay. */
  readonly findMoveReason: (input: SlowRunInput) => Exclude<MoveReason, 'endpointLeaves'> | undefined;
  readonly preemptionRules: PreemptionRules;
  /** Members of gangs are evicted from draining endpoints too. */
  readonly isEvictingGangs: boolean;
  /** Runs whose step has no median pace yet are compared with learnt run times, and only else with the caller's estimate. */
  readonly isUsingLearntRunTimes: boolean;
  /** Maximum share of all runs that are being moved as stragglers at the same time. */
  readonly maxMovingRunShare: number;
  /** Endpoints on which consecutive runs failed are quarantined. */
  readonly isQuarantineEnabled: boolean;
}
