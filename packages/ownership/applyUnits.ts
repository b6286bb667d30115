import type { UnitId } from '../common/UnitId';
import { OWNERSHIP } from './constants';
import { isEnded } from './isEnded';
import type { OwnershipState } from './OwnershipState';
import { toRanking } from './toRanking';

interface UnitChange {
  /** False when views between were not seen, so that it is not known who owned what meanwhile. */
  readonly isContinuous: boolean;
}

const applyLoss = (state: OwnershipState, unit: UnitId, viewNumber: number, isContinuous: boolean): void => {
  const lost = state.units.get(unit);
  if (lost === undefined) {
    return;
  }
  state.units.delete(unit);
  // A stop ends ownership within the view; otherwise it was the change of view that took the unit away.
  const isByStop = state.isStopped;
  state.released.set(unit, {
    lastOwnedView: isByStop ? viewNumber : viewNumber - 1,
    isByStop,
    isComplete: lost.isSettled && isContinuous,
    inherited: lost.foreign,
  });
};

const applyUnit = (state: OwnershipState, unit: UnitId, change: UnitChange): void => {
  const view = state.view;
  const ranking = view === undefined ? [] : toRanking(unit, view.members);
  const owner = ranking.find((member) => !isEnded(state, member));
  const viewNumber = view?.number ?? 0;
  if (owner !== state.self || state.isStopped) {
    applyLoss(state, unit, viewNumber, change.isContinuous);
    return;
  }
  if (state.units.has(unit) && change.isContinuous) {
    return;
  }
  state.released.delete(unit);
  state.grantCount += 1;
  state.units.set(unit, {
    // A jump over unseen views leaves open since when it is ours, so no release can be matched with it.
    ownedSince: change.isContinuous ? viewNumber : -1,
    grant: state.grantCount,
    token: viewNumber * OWNERSHIP.tokensPerView + ranking.indexOf(state.self),
    listedAt: -Infinity,
    isSuccessor: ranking[0] !== state.self,
    predecessor: ranking[ranking.indexOf(state.self) - 1],
    clearAt: undefined,
    isSettled: false,
    foreign: new Map(),
  });
};

/** Works out which of the known units are ours after the view or the set of ended processes has changed. */
export const applyUnits = (state: OwnershipState, change: UnitChange): void => {
  for (const unit of state.known) {
    applyUnit(state, unit, change);
  }
};
