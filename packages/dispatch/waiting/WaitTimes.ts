import type { WaitCause } from './WaitCause';

/** Time waited in milliseconds, by cause. */
export type WaitTimes = Readonly<Record<WaitCause, number>>;
