import type { StopCause } from './StopCause';

const STOPS = {
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
 * What runs lose work by: the leader's own stops, and beside them
 * - `alone`: its gang was not complete in time.
 * - `lapsed`: its lease ran out.
 * - `endpointLost`: its endpoint ended, or fell silent for good.
 */
export const lossCauses = [
  ...(Object.keys(STOPS) as StopCause[]),
  'alone',
  'lapsed',
  'endpointLost',
] as const;
