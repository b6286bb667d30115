import type { SpeedChoice } from './SpeedChoice';

/** Cost of a kind on which runs take twice as long: a tenth of that outweighs packing (at most 1), and no rack with the data (100). */
const SPEED_COST = 20;
/** Kinds that differ by less are taken for the same: so much is chance. */
const RATIO_STEP = 0.1;

/** Costs of an endpoint by the ratio of its kind, for the most urgent work and for other work. */
export const speedChoices: Readonly<Record<SpeedChoice, (ratio: number, isMostUrgent: boolean) => number>> = {
  blind: () => 0,
  kinds: (ratio, isMostUrgent) => {
    const cost = SPEED_COST * RATIO_STEP * Math.round((ratio - 1) / RATIO_STEP);
    return isMostUrgent ? cost : -cost;
  },
};
