import type { LossCause } from './LossCause';

/** Names of the counters of lost runs, and of their lost core-milliseconds, by cause. */
export type LossCounterName = `runsLostBy.${LossCause}` | `coreMsLostBy.${LossCause}`;
