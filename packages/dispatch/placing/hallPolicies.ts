import type { HallPolicyName } from './HallPolicyName';

/** Cost of an endpoint outside of the home hall; higher than that of packing, which is at most 1, and lower than that of a kind slower by a fifth. */
const OUTSIDE_HOME_HALL_COST = 3;

/** Functions that return the cost of an endpoint by whether it is in the job's home hall, by name of the policy. */
export const hallPolicies: Readonly<Record<HallPolicyName, (isHome: boolean) => number>> = {
  spread: () => 0,
  together: (isHome) => (isHome ? 0 : OUTSIDE_HOME_HALL_COST),
};
