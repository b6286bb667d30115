import type { UnitId } from '../common/UnitId';
import type { Holding } from './Holding';
import type { OwnershipState } from './OwnershipState';
import type { Release } from './Release';
import type { ReleasedUnit } from './ReleasedUnit';

interface ReleaseSource {
  /** Units that the addressee asked for. */
  readonly wanted: ReadonlySet<UnitId>;
  readonly readOwnHoldings: (unit: UnitId) => readonly Holding[];
  readonly now: number;
}

const createInherited = (released: ReleasedUnit, now: number): readonly Holding[] =>
  [...released.inherited]
    .filter(([, foreign]) => foreign.endsAt > now)
    .map(([task, foreign]) => ({
      task,
      holder: foreign.holder,
      need: foreign.need,
      endsWithinMs: foreign.endsAt === Infinity ? Number.MAX_SAFE_INTEGER : foreign.endsAt - now,
      isRenewable: foreign.endsAt === Infinity,
    }));

/** Creates what a message says of lost units: always those where tasks may run, and those that were asked for. */
export const createReleases = (state: OwnershipState, source: ReleaseSource): readonly Release[] => {
  const releases: Release[] = [];
  for (const [unit, released] of state.released) {
    const holdings = [...source.readOwnHoldings(unit), ...createInherited(released, source.now)];
    if (holdings.length > 0 || source.wanted.has(unit)) {
      const { lastOwnedView, isByStop, isComplete } = released;
      releases.push({ unit, lastOwnedView, isByStop, isComplete, holdings });
    }
  }
  return releases;
};
