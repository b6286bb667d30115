import type { LossCause } from './LossCause';

/** Counts of lost runs, and of the core-milliseconds of work that they lost, by cause. */
export type LossCounterName = `runsLostBy.${LossCause}` | `coreMsLostBy.${LossCause}`;
