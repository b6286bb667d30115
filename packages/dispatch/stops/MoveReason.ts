import type { StopCause } from './StopCause';

/** Reason to move a run to another endpoint. */
export type MoveReason = Extract<StopCause, 'slow' | 'stalled' | 'endpointLeaves'>;
