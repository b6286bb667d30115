import type { EndpointBook } from '../endpoints/EndpointBook';
import type { WaitingStep } from '../waiting/WaitingStep';

/** What differs between kinds of steps when an endpoint is chosen. */
export interface RankingRule {
  /** Lower is better. Only endpoints with room are asked about. */
  readonly measureFit: (step: WaitingStep, book: EndpointBook, now: number) => number;
}
