import type { AdviceChannel } from './AdviceChannel';
import type { AdviceSlots } from './AdviceSlots';
import type { AdviceBalancer } from './AdviceBalancer';
import type { AdviceBalancerOptions } from './AdviceBalancerOptions';
import { sendToAsker } from './sendToAsker';
import type { DispatchEffect } from '../DispatchEffect';

type Question = Extract<DispatchEffect, { kind: 'advise' }>;

interface AskerLoad {
  isBusy: boolean;
  /** Questions that fail count against the box until this monotonic time. */
  avoidUntil: number;
}

const ANSWER_MARGIN_MS = 1200;
const AVOID_MS = 2500;

/** Keeps the leader's own box for short questions, and gives any question to the first box that is free. */
export class AdviceDesk implements AdviceBalancer {
  private readonly loads = new Map<string, AskerLoad>();
  private isStopped = false;

  constructor(private readonly options: AdviceBalancerOptions) {}

  /** How many questions could be asked now. */
  getFreeSlots(): AdviceSlots {
    const askers = this.options.listChannels();
    const free = askers.filter((asker) => this.isFree(asker));
    // With no other box at hand the leader's own has to do for long questions too.
    const hasOthers = askers.some(({ box, isOwn }) => !isOwn && !this.isAvoided(box));
    return { all: free.length, long: hasOthers ? free.filter(({ isOwn }) => !isOwn).length : free.length };
  }

  /** Asks a question for which there is a turn. */
  async sendRequest(question: Question): Promise<void> {
    const free = this.options.listChannels().filter((asker) => this.isFree(asker));
    const asker = question.isLong ? free[free.length - 1] : free[0];
    if (asker === undefined) {
      this.options.handleResponse(question, undefined, 0);
      return;
    }
    const load = this.loads.get(asker.box) ?? { isBusy: false, avoidUntil: 0 };
    this.loads.set(asker.box, load);
    load.isBusy = true;
    const askedAt = this.options.clock.readNow();
    const timeoutMs = question.expectedMs + ANSWER_MARGIN_MS;
    const answer = await sendToAsker(asker, question, timeoutMs);
    load.isBusy = false;
    if (this.isStopped) {
      return;
    }
    const now = this.options.clock.readNow();
    if (answer === undefined) {
      load.avoidUntil = now + AVOID_MS;
    }
    this.options.handleResponse(question, answer, Math.round(now - askedAt));
  }

  stop(): void {
    this.isStopped = true;
  }

  /** True when the box has no question under way. */
  private isFree({ box }: AdviceChannel): boolean {
    return this.loads.get(box)?.isBusy !== true && !this.isAvoided(box);
  }

  private isAvoided(box: string): boolean {
    return (this.loads.get(box)?.avoidUntil ?? 0) > this.options.clock.readNow();
  }
}
