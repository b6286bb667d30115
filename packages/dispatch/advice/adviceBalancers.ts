import { AdviceDesk } from './AdviceDesk';
import { PlannedDesk } from './PlannedDesk';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import type { AdvicePolicyName } from './AdvicePolicyName';

/** Creates the desk that spreads questions over the boxes, by choice. */
export const adviceBalancers: Readonly<
  Record<AdvicePolicyName, (options: AdviceBalancerOptions) => AdviceBalancer>
> = {
  asked: (options) => new AdviceDesk(options),
  planned: (options) => new PlannedDesk(options),
};
