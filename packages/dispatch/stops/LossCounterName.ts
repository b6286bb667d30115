import type { LossCause } from './LossCause';

/** Name of the counter of lost runs, or of the core-milliseconds of work lost with them, for one cause. */
export type LossCounterName = `runsLostBy.${LossCause}` | `coreMsLostBy.${LossCause}`;
