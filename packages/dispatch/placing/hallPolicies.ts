import type { HallPolicyName } from './HallPolicyName';

/** Outweighs packing (at most 1), not a kind that is slower by a fifth (4). */
const OTHER_HALL_COST = 3;

/** Cost of an endpoint by whether it is in the job's home hall. */
export const hallPolicies: Readonly<Record<HallPolicyName, (isHome: boolean) => number>> = {
  spread: () => 0,
  together: (isHome) => (isHome ? 0 : OTHER_HALL_COST),
};
