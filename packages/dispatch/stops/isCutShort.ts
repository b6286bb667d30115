import type { LeaveInput } from './LeaveInput';

/**
 * True when an endpoint leaves before a run, or a gang, can be done there, and it is time to stop it. What saves its work goes on until a margin of
 * milliseconds before; other work is lost whenever it stops.
 */
export const isCutShort = ({ leftMs, remainingMs, isSaving }: LeaveInput, marginMs: number): boolean =>
  remainingMs > leftMs && (!isSaving || leftMs < marginMs);
