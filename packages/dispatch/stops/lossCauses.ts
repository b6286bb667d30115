import type { StopCause } from './StopCause';

const STOP_CAUSES = {
  jobEnded: true,
  slow: true,
  stalled: true,
  endpointLeaves: true,
  gaveWay: true,
  gangBroken: true,
  notWanted: true,
  unanswered: true,
} as const satisfies Readonly<Record<StopCause, true>>;

/**
 * Causes of lost runs: those of the leader's stops, and
 * - `alone`: its gang wasn't complete in time.
 * - `lapsed`: its lease expired.
 * - `endpointLost`: its endpoint ended, or was unreachable until its lease had expired.
 */
export const lossCauses = [
  ...(Object.keys(STOP_CAUSES) as StopCause[]),
  'alone',
  'lapsed',
  'endpointLost',
] as const;
