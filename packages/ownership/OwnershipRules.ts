import type { ProcessId } from '../common/ProcessId';
import type { OwnershipState } from './OwnershipState';
import type { OwnershipTimings } from './OwnershipTimings';
import type { PeerKnowledge } from './PeerKnowledge';

/** The rules that safety rests on, one function each, so that a test can replace one and must then see an overfill. */
export interface OwnershipRules {
  /** True while the process may rely on its view. */
  readonly hasEvidence: (state: OwnershipState, now: number, timings: OwnershipTimings) => boolean;
  /** True once everybody who was left out has stopped placing. */
  readonly hasWaitedOut: (state: OwnershipState, now: number, timings: OwnershipTimings) => boolean;
  /** True when a peer's statement counts under the current view. */
  readonly isStatementCurrent: (peer: PeerKnowledge, viewNumber: number) => boolean;
  /** True when a promise may be given to `asker`. */
  readonly isPromiseGrantable: (state: OwnershipState, asker: ProcessId) => boolean;
  /** True when a silent member may be left out of a proposal. */
  readonly isExpellable: (
    state: OwnershipState,
    peer: PeerKnowledge,
    now: number,
    timings: OwnershipTimings,
  ) => boolean;
  /** True when an ended peer's promise is needed no more. */
  readonly isWaivable: (peer: PeerKnowledge, now: number) => boolean;
  /** True when a process outside the view may propose to leave out a member that has not ended. */
  readonly isJoinerExpelling: boolean;
}
