import type { WaitCause } from './WaitCause';

/** Time that the tasks of a step have waited, in milliseconds, by cause. */
export type WaitTimes = Readonly<Record<WaitCause, number>>;
