import type { PreemptionRules } from './PreemptionRules';

/** Expected time from a stop until the task works again from its checkpoint. */
const EXPECTED_RESTART_MS = 500;
const CPU_MILLIS_PER_CORE = 1000;

/** Returns the work that a stop of a run loses, in core-milliseconds: that of the restart, and that since its checkpoint unless saved. */
export const computeStopCost: PreemptionRules['computeVictimCost'] = ({
  cpuMillis,
  sinceCheckpointMs,
  isSavingOnStop,
}) => ((EXPECTED_RESTART_MS + (isSavingOnStop ? 0 : sinceCheckpointMs)) * cpuMillis) / CPU_MILLIS_PER_CORE;
