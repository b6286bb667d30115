import { startDelay } from '../../common/startDelay';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';
import type { AdviceSlots } from './AdviceSlots';
import { AskerLoad } from './AskerLoad';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import { sendToAsker } from './sendToAsker';
import { ShortTurns } from './ShortTurns';

type Question = Extract<DispatchEffect, { kind: 'advise' }>;
type Answer = ReadonlyMap<EndpointIncarnation, string> | undefined;

/** A question that was given to one box. */
interface Attempt {
  readonly load: AskerLoad;
  readonly answer: Promise<Answer>;
}

/** Beyond the time that the service needs, an answer is waited for so long. */
const ANSWER_MARGIN_MS = 1200;
/** A box whose answer was late or did not come is left alone for so long, unless the answer comes after all. */
const AVOID_MS = 2500;
/** A question is given to so many boxes at most: the next one may be in the same hall that is cut off, each takes a turn. */
const MAX_ATTEMPTS = 3;
/** No answer is late before it takes so much longer than the service needs, as part of that. */
const LATE_SHARE = 0.5;
/** While the service fails for all boxes, it is tried so often. */
const TRY_EVERY_MS = 100;

/**
 * Keeps as many of the best boxes for short questions as these have lately used, and gives each question to the best box that is left for
 * it. A question whose answer is late goes to another box too, and the first answer counts.
 */
export class PlannedDesk implements AdviceBalancer {
  private readonly loads = new Map<string, AskerLoad>();
  /** What is known of all boxes together, for those that have not answered yet. */
  private readonly usual = new AskerLoad();
  private readonly shortTurns = new ShortTurns();
  /** Monotonic time at which a box last had no answer. */
  private failedAt = -Infinity;
  private isStopped = false;

  constructor(private readonly options: AdviceBalancerOptions) {}

  getFreeSlots(): AdviceSlots {
    const free = this.readFree();
    return { all: free.length, long: Math.max(0, free.length - this.readKept()) };
  }

  async sendRequest(question: Question): Promise<void> {
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
    this.options.handleResponse(question, answer, Math.round(now - askedAt));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Waits for the first answer: of the box that was asked, or, once that is late or has none, of others too. */
  private async startWaiting(question: Question, first: Attempt): Promise<Answer> {
    const attempts = [first];
    for (let newest = first; ;) {
      const lateMs = question.expectedMs + this.readLateMs(question, newest);
      const answer = await Promise.race([this.startFirstAnswer(attempts), startDelay(lateMs)]);
      if (answer !== undefined || this.isStopped) {
        return answer ?? undefined;
      }
      newest.load.recordLate(this.options.clock.readNow() + AVOID_MS);
      const next = attempts.length < MAX_ATTEMPTS ? this.startAttempt(question) : undefined;
      if (next === undefined) {
        return this.startFirstAnswer(attempts);
      }
      attempts.push(next);
      newest = next;
    }
  }

  /** A long question is worth waiting for longer: a second one takes as much of the service again. */
  private readLateMs({ expectedMs }: Question, { load }: Attempt): number {
    return Math.max(load.readLateMs(this.usual.readLateMs()), expectedMs * LATE_SHARE);
  }

  /** The first answer of several; none once all have failed. */
  private async startFirstAnswer(attempts: readonly Attempt[]): Promise<Answer> {
    const answers = attempts.map(
      async (attempt) => (await attempt.answer) ?? Promise.reject(new Error('no answer')),
    );
    return Promise.any(answers).catch(() => undefined);
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

  private async startAsking(question: Question, asker: AdviceChannel, load: AskerLoad): Promise<Answer> {
    const { clock } = this.options;
    const askedAt = clock.readNow();
    load.recordQuestion(question.isLong);
    const answer = await sendToAsker(asker, question, question.expectedMs + ANSWER_MARGIN_MS);
    const now = clock.readNow();
    if (answer === undefined) {
      load.recordUnanswered(now + AVOID_MS);
      this.failedAt = now;
    } else {
      if (this.readTrusted(now).length === 0) {
        this.loads.forEach((other) => other.recordTrusted());
      }
      const delayMs = Math.max(0, now - askedAt - question.expectedMs);
      load.recordAnswer(delayMs, now);
      this.usual.recordAnswer(delayMs, now);
    }
    return answer;
  }

  /**
   * Boxes that could ask now, the quickest first. While no box has answers it is the service that fails: then one box at a time finds out
   * when it is back, instead of each waiting until it is no longer avoided.
   */
  private readFree(): readonly AdviceChannel[] {
    const now = this.options.clock.readNow();
    const askers = this.options.listChannels();
    const free = askers
      .filter((asker) => !this.readLoad(asker).isBusy())
      .sort((left, right) => this.readLoad(left).readDelayMs(now) - this.readLoad(right).readDelayMs(now));
    const trusted = free.filter((asker) => !this.readLoad(asker).isAvoided(now));
    const isServiceFailing = free.length === askers.length && trusted.length === 0;
    const mayTry = isServiceFailing && now - this.failedAt >= TRY_EVERY_MS;
    return mayTry ? free.slice(0, 1) : trusted;
  }

  /** Of the free boxes, how many have to be left to short questions beside those that these use now. */
  private readKept(): number {
    const now = this.options.clock.readNow();
    const trusted = this.readTrusted(now);
    const inUse = trusted.filter((asker) => this.readLoad(asker).isBusyWithShort()).length;
    return Math.max(0, this.shortTurns.readKept(trusted.length, now) - inUse);
  }

  private readTrusted(now: number): readonly AdviceChannel[] {
    return this.options.listChannels().filter((asker) => !this.readLoad(asker).isAvoided(now));
  }

  private readLoad({ box }: AdviceChannel): AskerLoad {
    const load = this.loads.get(box) ?? new AskerLoad();
    this.loads.set(box, load);
    return load;
  }
}
