import type { WaitCause } from './WaitCause';

/** Milliseconds waited, by cause. */
export type WaitTimes = Readonly<Record<WaitCause, number>>;
