import type { HallPolicyName } from './HallPolicyName';

/** Outweighs packing, which costs at most 1, but not a slowdown of a fifth, which costs 4. */
const OTHER_HALL_COST = 3;

/** Costs of an endpoint inside and outside of the job's home hall, by policy. */
export const hallPolicies: Readonly<Record<HallPolicyName, (isHome: boolean) => number>> = {
  spread: () => 0,
  together: (isHome) => (isHome ? 0 : OTHER_HALL_COST),
};
