import type { ProcessId } from '../common/ProcessId';
import type { UnitId } from '../common/UnitId';
import { isEnded } from './isEnded';
import type { OwnershipState } from './OwnershipState';
import type { OwnershipTimings } from './OwnershipTimings';
import type { Release } from './Release';
import type { UnitState } from './UnitState';

interface ReleaseContext {
  readonly from: ProcessId;
  readonly now: number;
  readonly timings: OwnershipTimings;
}

/** True when the sender owned the unit directly before us, so that its list is complete. */
const isFromPredecessor = (unit: UnitState, release: Release, from: ProcessId): boolean => {
  if (!release.isComplete) {
    return false;
  }
  if (unit.isSuccessor) {
    // Within one view only the member ranked directly before us, and only if it was the owner in this very view.
    return release.isByStop && unit.predecessor === from && release.lastOwnedView === unit.ownedSince;
  }
  return !release.isByStop && release.lastOwnedView === unit.ownedSince - 1;
};

const applyRelease = (
  state: OwnershipState,
  unit: UnitState,
  release: Release | undefined,
  context: ReleaseContext,
): void => {
  for (const [task, foreign] of unit.foreign) {
    const isDropped = !(release?.holdings ?? []).some((holding) => holding.task === task);
    if (foreign.holder === context.from && isDropped) {
      unit.foreign.delete(task);
    }
  }
  for (const holding of release?.holdings ?? []) {
    if (holding.holder === state.self) {
      continue;
    }
    const isLasting = holding.isRenewable && !isEnded(state, holding.holder);
    const endsAt = isLasting ? Infinity : context.now + holding.endsWithinMs + context.timings.marginMs;
    unit.foreign.set(holding.task, { need: holding.need, endsAt, holder: holding.holder });
  }
  if (release !== undefined && unit.clearAt !== undefined && isFromPredecessor(unit, release, context.from)) {
    unit.isSettled = true;
  }
};

/** Takes a peer's newest releases for the units that are ours. The peer must know our view. */
export const applyReleases = (
  state: OwnershipState,
  releases: readonly Release[],
  context: ReleaseContext,
): void => {
  const byUnit = new Map<UnitId, Release>(releases.map((release) => [release.unit, release]));
  for (const [id, unit] of state.units) {
    const release = byUnit.get(id);
    if (release !== undefined || unit.foreign.size > 0) {
      applyRelease(state, unit, release, context);
    }
  }
};
