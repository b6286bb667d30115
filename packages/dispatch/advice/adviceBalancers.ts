import { FirstFreeBalancer } from './FirstFreeBalancer';
import { HedgingBalancer } from './HedgingBalancer';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import type { AdvicePolicyName } from './AdvicePolicyName';

/** Creates the balancer of a policy, by its name. */
export const adviceBalancers: Readonly<
  Record<AdvicePolicyName, (options: AdviceBalancerOptions) => AdviceBalancer>
> = {
  asked: (options) => new FirstFreeBalancer(options),
  planned: (options) => new HedgingBalancer(options),
};
