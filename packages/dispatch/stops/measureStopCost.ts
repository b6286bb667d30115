import type { RoomRule } from './RoomRule';

/** A stop, the wait for the next round, and the start from a checkpoint, in milliseconds. */
const RESTART_MS = 500;
const MILLIS = 1000;

/** Core-milliseconds that a stop loses. */
export const measureStopCost: RoomRule['measureCost'] = ({ cpuMillis, workedMs, isSaving }) =>
  ((RESTART_MS + (isSaving ? 0 : workedMs)) * cpuMillis) / MILLIS;
