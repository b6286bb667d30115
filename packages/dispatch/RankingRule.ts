import type { EndpointBook } from './EndpointBook';
import type { WaitingStep } from './WaitingStep';

/** What differs between kinds of steps when an endpoint is chosen. */
export interface RankingRule {
  /** Lower is better. Only endpoints with room are asked about. */
  readonly measureFit: (step: WaitingStep, book: EndpointBook, now: number) => number;
}
