import type { PlacedRun } from '../runs/PlacedRun';
import { crashLimits } from './crashLimits';

/** True when a look has listed the run long enough after its start: its start has not ended its endpoint. */
export const isPastStartup = (run: PlacedRun): boolean =>
  run.seenAt - run.confirmedAt >= crashLimits.startupMs;
