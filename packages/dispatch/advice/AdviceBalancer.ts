import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceSlots } from './AdviceSlots';

/** Spreads questions to the advice service over the boxes, since the service takes those of one box in turn: one at a time each. */
export interface AdviceBalancer {
  /** How many questions could be asked now. */
  getFreeSlots(): AdviceSlots;
  /** Asks a question for which there is a turn. */
  sendRequest(question: Extract<DispatchEffect, { kind: 'advise' }>): Promise<void>;
  stop(): void;
}
