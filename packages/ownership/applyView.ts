import { OWNERSHIP } from './constants';
import { applyUnits } from './applyUnits';
import { isEnded } from './isEnded';
import type { OwnershipState } from './OwnershipState';
import { readPeer } from './readPeer';
import type { View } from './View';

const applyLeftOut = (state: OwnershipState, view: View, now: number): void => {
  for (const member of state.view?.members ?? []) {
    const isGone = !view.members.includes(member) && member !== state.self && !isEnded(state, member);
    if (isGone && !state.leftOut.has(member)) {
      state.leftOut.set(member, now);
    }
  }
  for (const member of view.members) {
    state.leftOut.delete(member);
  }
};

const applyMembership = (state: OwnershipState, view: View, isContinuous: boolean): void => {
  const isMember = view.members.includes(state.self);
  if (!isMember) {
    state.memberSince = 0;
  } else if (state.memberSince === 0 || !isContinuous) {
    state.memberSince = view.number;
  }
  const isNewMembership = isMember && state.memberSince === view.number;
  if (isNewMembership) {
    for (const peer of state.peers.values()) {
      peer.acknowledged = 0;
    }
  }
};

/** Forgets processes that ended long ago, so that restarts do not fill the memory; no message of theirs is under way any more. */
const revokeOldPeers = (state: OwnershipState, view: View, now: number): void => {
  for (const [process, peer] of state.peers) {
    const isOld = peer.endedAt !== undefined && now > peer.endedAt + OWNERSHIP.forgetEndedMs;
    if (isOld && !view.members.includes(process)) {
      state.peers.delete(process);
    }
  }
};

/**
 * Takes a newer view, read from the log or told by a peer; an older or equal one changes nothing.
 * @param now local monotonic milliseconds
 */
export const applyView = (state: OwnershipState, view: View, now: number): void => {
  const knownNumber = state.view?.number ?? 0;
  if (view.number <= knownNumber) {
    return;
  }
  const isContinuous = view.number === knownNumber + 1;
  if (!isContinuous) {
    state.unknownLeftOutAt = now;
  }
  applyLeftOut(state, view, now);
  applyMembership(state, view, isContinuous);
  state.view = view;
  if (state.pending !== undefined && state.pending.number <= view.number) {
    state.pending = undefined;
  }
  for (const member of view.members) {
    readPeer(state, member);
  }
  revokeOldPeers(state, view, now);
  applyUnits(state, { isContinuous });
};
