import type { PreemptionRules } from './PreemptionRules';

/** Expected duration of a stop, the wait for the next round, and the restart from a checkpoint. */
const EXPECTED_RESTART_MS = 500;
const MILLIS = 1000;

/** Returns the work that a stop loses, in core-milliseconds. */
export const computeStopCost: PreemptionRules['computeVictimCost'] = ({
  cpuMillis,
  sinceCheckpointMs,
  isSavingOnStop,
}) => ((EXPECTED_RESTART_MS + (isSavingOnStop ? 0 : sinceCheckpointMs)) * cpuMillis) / MILLIS;
