import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { MoveReason } from './MoveReason';

/** A run that would end sooner, or at all, on another endpoint. */
export interface MoveCandidate {
  readonly book: EndpointState;
  readonly run: PlacedRun;
  readonly reason: MoveReason;
  readonly priority: number;
  /** Time that the move is expected to save, in milliseconds; 0 where it only saves the work. */
  readonly gainMs: number;
}
