import type { ProcessId } from '../common/ProcessId';
import type { UnitId } from '../common/UnitId';
import type { PeerKnowledge } from './PeerKnowledge';
import type { ReleasedUnit } from './ReleasedUnit';
import type { UnitState } from './UnitState';
import type { View } from './View';

/** All that one process knows about who may use which unit. Changed only by the Ownership class and its helpers. */
export interface OwnershipState {
  readonly self: ProcessId;
  view: View | undefined;
  /** The view since which this process has been a member without a break; 0 when it is none. */
  memberSince: number;
  /** The view that a tail read showed standing, and when that read was asked for. */
  tail: { viewNumber: number; askedAt: number };
  /** Own proposal that may still land in the log. */
  pending: View | undefined;
  /** Processes left out of the view and not proved ended, with the time when that was first seen. */
  readonly leftOut: Map<ProcessId, number>;
  /** Earlier views that were never seen may have had members: when that gap was met; -Infinity for never. */
  unknownLeftOutAt: number;
  readonly peers: Map<ProcessId, PeerKnowledge>;
  /** Every unit of the hall that was asked about, owned or not. */
  readonly known: Set<UnitId>;
  /** The units that are ours. */
  readonly units: Map<UnitId, UnitState>;
  readonly released: Map<UnitId, ReleasedUnit>;
  /** Number of the last spell of ownership given out. */
  grantCount: number;
  isStopped: boolean;
  sequence: number;
}
