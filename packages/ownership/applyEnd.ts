import type { ProcessId } from '../common/ProcessId';
import { applyUnits } from './applyUnits';
import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipState } from './OwnershipState';
import { readPeer } from './readPeer';

/** Records the proof that a process will never place again. */
export const applyEnd = (
  state: OwnershipState,
  rules: OwnershipRules,
  process: ProcessId,
  now: number,
): void => {
  if (process === state.self) {
    return;
  }
  const peer = readPeer(state, process);
  if (peer.endedAt !== undefined) {
    return;
  }
  peer.isPromiseWaived = rules.isWaivable(peer, now);
  peer.endedAt = now;
  state.leftOut.delete(process);
  applyUnits(state, { isContinuous: true });
};
