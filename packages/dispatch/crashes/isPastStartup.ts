import type { PlacedRun } from '../runs/PlacedRun';
import { crashLimits } from './crashLimits';

/** Returns true when a status has listed the run at an age at which its startup is over, so that the startup can't crash the endpoint any more. */
export const isPastStartup = (run: PlacedRun): boolean =>
  run.lastListedAt - run.startConfirmedAt >= crashLimits.startupMs;
