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
 * Causes of lost runs: the causes of stops by the leader, and these.
 * - `alone`: the run's gang was never complete.
 * - `lapsed`: the endpoint stopped the run since the endpoint's lease had expired.
 * - `endpointLost`: the endpoint crashed or left, or was unreachable until its lease had expired.
 */
export const lossCauses = [
  ...(Object.keys(STOP_CAUSES) as StopCause[]),
  'alone',
  'lapsed',
  'endpointLost',
] as const;
