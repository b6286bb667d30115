import { startDelay } from '../../common/startDelay';
import type { EndpointLife } from '../../jobs/EndpointLife';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceAsker } from './AdviceAsker';
import type { AdviceTurns } from './AdviceTurns';
import { AskerLoad } from './AskerLoad';
import type { QuestionDesk } from './QuestionDesk';
import type { QuestionDeskOptions } from './QuestionDeskOptions';
import { sendToAsker } from './sendToAsker';
import { ShortTurns } from './ShortTurns';

type Question = Extract<DispatchEffect, { kind: 'advise' }>;
type Answer = ReadonlyMap<EndpointLife, string> | undefined;

/** A question that was given to one box. */
interface Attempt {
  readonly load: AskerLoad;
  readonly answer: Promise<Answer>;
}

/** Beyond the time that the service needs, an answer is waited for so long. */
const ANSWER_MARGIN_MS = 1200;
/** A box whose answer was late or did not come is left alone for so long, unless the answer comes after all. */
const AVOID_MS = 2500;

/**
 * Keeps as many of the best boxes for short questions as these have lately used, and gives each question to the best box that is left for
 * it. A question whose answer is late goes to another box too, and the first answer counts.
 */
export class PlannedDesk implements QuestionDesk {
  private readonly loads = new Map<string, AskerLoad>();
  private readonly shortTurns = new ShortTurns();
  private isStopped = false;

  constructor(private readonly options: QuestionDeskOptions) {}

  readFreeTurns(): AdviceTurns {
    const free = this.readFree();
    return { all: free.length, long: Math.max(0, free.length - this.readKept()) };
  }

  async sendQuestion(question: Question): Promise<void> {
    const askedAt = this.options.clock.readNow();
    const first = this.startAttempt(question);
    const answer = first && (await this.startWaiting(question, first));
    if (this.isStopped) {
      return;
    }
    const now = this.options.clock.readNow();
    if (!question.isLong) {
      this.shortTurns.recordQuestion(now - askedAt, now);
    }
    this.options.handleAnswer(question, answer, Math.round(now - askedAt));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Waits for the first answer: of the box that was asked, or, once that is late or has none, of another one. */
  private async startWaiting(question: Question, first: Attempt): Promise<Answer> {
    const lateMs = question.expectedMs + first.load.readLateMs();
    const early = await Promise.race([first.answer, startDelay(lateMs)]);
    if (early !== undefined || this.isStopped) {
      return early ?? undefined;
    }
    first.load.recordLate(this.options.clock.readNow() + AVOID_MS);
    const second = this.startAttempt(question);
    return second === undefined ? first.answer : this.startFirstAnswer([first.answer, second.answer]);
  }

  /** The first answer of several; none once all have failed. */
  private async startFirstAnswer(answers: readonly Promise<Answer>[]): Promise<Answer> {
    const wanted = answers.map(async (answer) => (await answer) ?? Promise.reject(new Error('no answer')));
    return Promise.any(wanted).catch(() => undefined);
  }

  /** Gives the question to the best box for it; undefined when none is free. */
  private startAttempt(question: Question): Attempt | undefined {
    const free = this.readFree();
    const best = question.isLong ? Math.min(this.readKept(), free.length - 1) : 0;
    const asker = free[best];
    if (asker === undefined) {
      return undefined;
    }
    const load = this.readLoad(asker);
    return { load, answer: this.startAsking(question, asker, load) };
  }

  private async startAsking(question: Question, asker: AdviceAsker, load: AskerLoad): Promise<Answer> {
    const { clock } = this.options;
    const askedAt = clock.readNow();
    load.recordQuestion(question.isLong);
    const answer = await sendToAsker(asker, question, question.expectedMs + ANSWER_MARGIN_MS);
    const now = clock.readNow();
    if (answer === undefined) {
      load.recordUnanswered(now + AVOID_MS);
    } else {
      load.recordAnswer(Math.max(0, now - askedAt - question.expectedMs), now);
    }
    return answer;
  }

  /** Boxes that could ask now, the quickest first. */
  private readFree(): readonly AdviceAsker[] {
    const now = this.options.clock.readNow();
    const free = this.options.readAskers().filter((asker) => {
      const load = this.readLoad(asker);
      return !load.isBusy() && !load.isAvoided(now);
    });
    const delays = new Map(free.map((asker) => [asker, this.readLoad(asker).readDelayMs(now)]));
    return free.sort((left, right) => delays.get(left)! - delays.get(right)!);
  }

  /** Of the free boxes, how many have to be left to short questions beside those that these use now. */
  private readKept(): number {
    const now = this.options.clock.readNow();
    const usable = this.options.readAskers().filter((asker) => !this.readLoad(asker).isAvoided(now));
    const inUse = usable.filter((asker) => this.readLoad(asker).isBusyWithShort()).length;
    return Math.max(0, this.shortTurns.readKept(usable.length, now) - inUse);
  }

  private readLoad({ box }: AdviceAsker): AskerLoad {
    const load = this.loads.get(box) ?? new AskerLoad();
    this.loads.set(box, load);
    return load;
  }
}
