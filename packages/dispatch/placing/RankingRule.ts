import type { EndpointState } from '../endpoints/EndpointState';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Rule that ranks endpoints for tasks of batch, serving or filler steps. */
export interface RankingRule {
  /** Returns the cost of placing a task of the step on an endpoint where it fits; lower is better. */
  readonly computeCost: (step: WaitingStep, endpoint: EndpointState, now: number) => number;
}
