import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { MoveReason } from './MoveReason';

/** A run that is expected to end earlier on another endpoint. */
export interface MoveCandidate {
  readonly endpoint: EndpointState;
  readonly run: PlacedRun;
  readonly reason: MoveReason;
  readonly priority: number;
  /** Time that the move is expected to gain, in milliseconds; 0 where it only avoids the loss of work. */
  readonly gainMs: number;
}
