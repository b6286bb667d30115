import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipState } from './OwnershipState';

const hasAllPromises = (state: OwnershipState, now: number): boolean => {
  const others = (state.view?.members ?? []).filter((member) => member !== state.self);
  return others.every((member) => {
    const peer = state.peers.get(member);
    return peer !== undefined && (peer.isPromiseWaived || now < peer.promiseHeldUntil);
  });
};

/** The rules in force. docs/DESIGN.md gives the argument for each. */
export const standardRules: OwnershipRules = {
  hasEvidence: (state, now, timings) => {
    if (state.view === undefined || state.memberSince === 0 || state.isStopped) {
      return false;
    }
    const isTailFresh =
      state.tail.viewNumber === state.view.number && now < state.tail.askedAt + timings.leaseMs;
    return isTailFresh || hasAllPromises(state, now);
  },

  hasWaitedOut: (state, now, timings) => {
    const waitMs = timings.leaseMs + timings.marginMs;
    const isPast = (seenAt: number) => now >= seenAt + waitMs;
    return isPast(state.unknownLeftOutAt) && [...state.leftOut.values()].every(isPast);
  },

  isStatementCurrent: (peer, viewNumber) => peer.viewNumber >= viewNumber,

  // A proposal without an answer may land late; until a later view makes it void, a promise against it would be broken.
  isPromiseGrantable: (state, asker) =>
    !state.isStopped && (state.pending === undefined || state.pending.members.includes(asker)),

  // Before its acknowledgement the member has asked for no promise of ours, and may rely on those of others alone.
  isExpellable: (state, peer, now, timings) =>
    now >= peer.promiseGivenUntil &&
    now >= peer.heardAt + timings.suspectMs &&
    state.memberSince > 0 &&
    peer.acknowledged >= state.memberSince,

  isWaivable: (peer, now) => now < peer.promiseHeldUntil,

  isJoinerExpelling: false,
};
