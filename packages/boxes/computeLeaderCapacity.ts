import type { BoxResources } from './BoxResources';

/**
 * Link bandwidth that a leader needs for each core that it uses, in Mbit/s. On a saturated link, responses arrive so late that successful
 * starts time out.
 */
const LINK_MBPS_PER_CORE = 16;

/** Computes the capacity of a box as leader: the number of its cores that its link can keep busy. */
export const computeLeaderCapacity = ({ cores, linkMbps }: BoxResources): number =>
  Math.min(cores, linkMbps / LINK_MBPS_PER_CORE);
