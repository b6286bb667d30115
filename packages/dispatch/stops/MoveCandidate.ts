import type { EndpointState } from '../endpoints/EndpointState';
import type { PlacedRun } from '../runs/PlacedRun';
import type { MoveReason } from './MoveReason';

/** A run that should be moved to another endpoint, and the reason. */
export interface MoveCandidate {
  /** Endpoint that the run is on. */
  readonly endpoint: EndpointState;
  readonly run: PlacedRun;
  readonly reason: MoveReason;
  readonly priority: number;
  /** Time by which the task is expected to end earlier, in milliseconds; 0 for a run on a draining endpoint. */
  readonly gainMs: number;
}
