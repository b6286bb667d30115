import { AdviceDesk } from './AdviceDesk';
import { PlannedDesk } from './PlannedDesk';
import type { QuestionDesk } from './QuestionDesk';
import type { QuestionDeskOptions } from './QuestionDeskOptions';
import type { TurnChoice } from './TurnChoice';

/** Creates the desk that spreads questions over the boxes, by choice. */
export const adviceDesks: Readonly<Record<TurnChoice, (options: QuestionDeskOptions) => QuestionDesk>> = {
  asked: (options) => new AdviceDesk(options),
  planned: (options) => new PlannedDesk(options),
};
