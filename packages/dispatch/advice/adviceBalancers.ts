import { FirstFreeBalancer } from './FirstFreeBalancer';
import { HedgingBalancer } from './HedgingBalancer';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import type { AdvicePolicyName } from './AdvicePolicyName';

/** Functions that create the balancer of a policy, by the policy's name. */
export const adviceBalancers: Readonly<
  Record<AdvicePolicyName, (options: AdviceBalancerOptions) => AdviceBalancer>
> = {
  asked: (options) => new FirstFreeBalancer(options),
  planned: (options) => new HedgingBalancer(options),
};
