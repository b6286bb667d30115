import type { PlacedRun } from '../runs/PlacedRun';
import { crashLimits } from './crashLimits';

/** Returns true when a poll has listed the run long enough after its start that the startup can't crash the endpoint any more. */
export const isPastStartup = (run: PlacedRun): boolean =>
  run.lastListedAt - run.startConfirmedAt >= crashLimits.startupMs;
