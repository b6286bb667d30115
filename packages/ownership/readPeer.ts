import type { ProcessId } from '../common/ProcessId';
import type { OwnershipState } from './OwnershipState';
import type { PeerKnowledge } from './PeerKnowledge';

/** Reads what is known of a peer, starting an empty record when it is new. */
export const readPeer = (state: OwnershipState, process: ProcessId): PeerKnowledge => {
  const known = state.peers.get(process);
  if (known !== undefined) {
    return known;
  }
  const created: PeerKnowledge = {
    sequence: 0,
    heardAt: -Infinity,
    viewNumber: 0,
    acknowledged: 0,
    promiseHeldUntil: -Infinity,
    promiseGivenUntil: -Infinity,
    endedAt: undefined,
    isPromiseWaived: false,
    releases: [],
  };
  state.peers.set(process, created);
  return created;
};
