import type { StopCause } from './StopCause';

/** Why a run would end sooner, or at all, elsewhere. */
export type MoveReason = Extract<StopCause, 'slow' | 'stalled' | 'endpointLeaves'>;
