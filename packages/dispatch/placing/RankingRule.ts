import type { EndpointState } from '../endpoints/EndpointState';
import type { WaitingStep } from '../waiting/WaitingStep';

/** What differs between kinds of steps when an endpoint is chosen. */
export interface RankingRule {
  /** Lower is better. Only endpoints with room are asked about. */
  readonly measureFit: (step: WaitingStep, book: EndpointState, now: number) => number;
}
