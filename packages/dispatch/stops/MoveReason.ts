import type { StopCause } from './StopCause';

/** Stop causes of runs that are moved to another endpoint. */
export type MoveReason = Extract<StopCause, 'slow' | 'stalled' | 'endpointLeaves'>;
