import type { DispatchCounterName } from '../DispatchCounterName';
import type { AdviceRequestReason } from './AdviceRequestReason';

/** A question with an answer, until a start uses it or its tickets have run out. */
interface AnsweredQuestion {
  readonly tookMs: number;
  /** Monotonic time at which its tickets run out. */
  readonly until: number;
  isUsed: boolean;
}

const CAUSE_COUNTS = {
  first: 'questionsFirst',
  more: 'questionsMore',
  again: 'questionsAgain',
  early: 'questionsEarly',
} as const satisfies Readonly<Record<AdviceRequestReason, DispatchCounterName>>;

/** Counts for what turns at the advice service were taken, and whether a start made use of the answer. */
export class AdviceMetrics {
  /** In the order of the answers. Bounded by the life of tickets. */
  private open: AnsweredQuestion[] = [];

  constructor(private readonly sendCount: (name: DispatchCounterName, amount: number) => void) {}

  recordQuestion(cause: AdviceRequestReason): void {
    this.sendCount(CAUSE_COUNTS[cause], 1);
  }

  /** Records that a question had no answer. */
  recordFailure(tookMs: number): void {
    this.sendCount('turnsUnanswered', 1);
    this.sendCount('turnUnansweredMs', Math.round(tookMs));
  }

  /** Records an answer; what it allows is marked with the value returned, for `recordUse`. */
  recordResponse(tookMs: number, until: number): AnsweredQuestion {
    const question = { tookMs, until, isUsed: false };
    this.open.push(question);
    return question;
  }

  /** A start uses a ticket of the answer. */
  recordUse(question: AnsweredQuestion): void {
    if (!question.isUsed) {
      question.isUsed = true;
      this.sendCount('turnsUsed', 1);
      this.sendCount('turnUsedMs', Math.round(question.tookMs));
    }
  }

  /** Counts what has run out without use. */
  handleTick(now: number): void {
    const over = this.open.filter(({ until, isUsed }) => !isUsed && until <= now);
    this.open = this.open.filter(({ until, isUsed }) => !isUsed && until > now);
    if (over.length > 0) {
      this.sendCount('turnsWasted', over.length);
      this.sendCount('turnWastedMs', Math.round(over.reduce((sum, { tookMs }) => sum + tookMs, 0)));
    }
  }
}
