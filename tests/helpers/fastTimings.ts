import type { FleetOptions } from '../../dev/fleet/FleetOptions';

/** Shortened timings for tests of processes, in about the proportions of the defaults. */
export const fastTimings: FleetOptions['timings'] = {
  heartbeatMs: 200,
  leaseMs: 1000,
  marginMs: 300,
  suspectMs: 1400,
  boxListMs: 200,
  reportMs: 200,
  platformTimeoutMs: 1000,
  longPollMs: 300,
  tablePollMs: 1000,
  seatLeaseMs: 2000,
};
