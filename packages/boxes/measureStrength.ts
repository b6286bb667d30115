import type { BoxPower } from './BoxPower';

/**
 * Link that a leader needs for each core that it uses, in Mbit/s: looks, orders and records pass it, and come in bursts. A leader whose link is
 * full hears answers so late that it takes sound starts for lost.
 */
const LINK_MBPS_PER_CORE = 16;

/** How much leading a box can bear, in cores that its link can keep busy. */
export const measureStrength = ({ cores, linkMbps }: BoxPower): number =>
  Math.min(cores, linkMbps / LINK_MBPS_PER_CORE);
