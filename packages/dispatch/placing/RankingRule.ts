import type { EndpointState } from '../endpoints/EndpointState';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Ranking of endpoints for one kind of step. */
export interface RankingRule {
  /** Returns the cost of an endpoint that has enough free capacity; lower is better. */
  readonly computeCost: (step: WaitingStep, endpoint: EndpointState, now: number) => number;
}
