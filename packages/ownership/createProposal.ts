import type { ProcessId } from '../common/ProcessId';
import { isEnded } from './isEnded';
import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipState } from './OwnershipState';
import type { OwnershipTimings } from './OwnershipTimings';
import { readPeer } from './readPeer';
import type { View } from './View';

interface ProposalContext {
  readonly rules: OwnershipRules;
  readonly timings: OwnershipTimings;
  readonly now: number;
}

const isKept = (state: OwnershipState, member: ProcessId, context: ProposalContext): boolean => {
  if (member === state.self) {
    return !state.isStopped;
  }
  if (isEnded(state, member)) {
    return false;
  }
  const peer = readPeer(state, member);
  if (state.memberSince === 0) {
    return !context.rules.isJoinerExpelling;
  }
  return state.isStopped || !context.rules.isExpellable(state, peer, context.now, context.timings);
};

/**
 * Creates the view that this process wants next, or undefined when the present one suits it.
 * A process outside the view only adds itself and leaves out the ended; a member may leave out the silent.
 */
export const createProposal = (state: OwnershipState, context: ProposalContext): View | undefined => {
  const current = state.view?.members ?? [];
  const kept = current.filter((member) => isKept(state, member, context));
  const isJoining = !current.includes(state.self) && !state.isStopped;
  const members = isJoining ? [...kept, state.self] : kept;
  const isSame = members.length === current.length && !isJoining;
  if (isSame) {
    return undefined;
  }
  const number = (state.view?.number ?? 0) + 1;
  return { number, id: `${state.self}:${number}:${state.sequence}`, members };
};
