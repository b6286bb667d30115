import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceTurns } from './AdviceTurns';

/** Spreads questions to the advice service over the boxes, since the service takes those of one box in turn: one at a time each. */
export interface QuestionDesk {
  /** How many questions could be asked now. */
  readFreeTurns(): AdviceTurns;
  /** Asks a question for which there is a turn. */
  sendQuestion(question: Extract<DispatchEffect, { kind: 'advise' }>): Promise<void>;
  stop(): void;
}
