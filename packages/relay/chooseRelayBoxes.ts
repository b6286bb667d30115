import { computeLeaderCapacity } from '../boxes/computeLeaderCapacity';
import type { BoxResources } from '../boxes/BoxResources';
import type { RelayBox } from './RelayBox';

interface RelayBoxChoice {
  /** Resources of the leader's box. */
  readonly ownBox: BoxResources;
  readonly endpointCount: number;
  /** Boxes that may relay calls. */
  readonly boxes: readonly RelayBox[];
  /** Returns whether the box relays calls now. */
  readonly isInUse: (box: RelayBox) => boolean;
}

/** Number of endpoints that a leader can poll without help, for each of its cores. */
const OWN_ENDPOINTS_PER_CORE = 150;
/** Number of endpoints that a relay polls, for each of its cores. */
const RELAYED_ENDPOINTS_PER_CORE = 100;
const MAX_RELAYS = 12;

/**
 * Returns the boxes that should relay a leader's calls: none if it can poll all endpoints itself, else the strongest ones that suffice for the
 * endpoints. Of equal ones, those in use go first.
 */
export const chooseRelayBoxes = ({
  ownBox,
  endpointCount,
  boxes,
  isInUse,
}: RelayBoxChoice): readonly RelayBox[] => {
  if (endpointCount <= computeLeaderCapacity(ownBox) * OWN_ENDPOINTS_PER_CORE) {
    return [];
  }
  const ranked = [...boxes].sort(
    (left, right) =>
      computeLeaderCapacity(right) - computeLeaderCapacity(left) ||
      Number(isInUse(right)) - Number(isInUse(left)),
  );
  const chosen: RelayBox[] = [];
  let missing = endpointCount;
  for (const box of ranked.slice(0, MAX_RELAYS)) {
    if (missing <= 0) {
      break;
    }
    chosen.push(box);
    missing -= computeLeaderCapacity(box) * RELAYED_ENDPOINTS_PER_CORE;
  }
  return chosen;
};
