import type { Clock } from '../common/Clock';
import type { EndpointId } from '../jobs/EndpointId';
import type { AdviceClient } from './AdviceClient';
import type { DispatchEffect } from './DispatchEffect';

type Question = Extract<DispatchEffect, { kind: 'advise' }>;
type Answer = ReadonlyMap<EndpointId, string> | undefined;

interface AdviceDeskOptions {
  readonly clock: Clock;
  /** The boxes that can ask, this one first. Read anew for each question. */
  readonly readAskers: () => readonly AdviceAsker[];
  readonly handleAnswer: (question: Question, answer: Answer) => void;
}

/** A box that can ask the advice service, one question at a time. */
interface AdviceAsker {
  readonly box: string;
  readonly isOwn: boolean;
  readonly client: AdviceClient;
}

interface AskerLoad {
  isBusy: boolean;
  /** Questions that fail count against the box until this monotonic time. */
  avoidUntil: number;
}

/** Questions longer than this stay off the leader's own box, which keeps it free for urgent ones. */
const LONG_QUESTION_MS = 150;
const ANSWER_MARGIN_MS = 1200;
const AVOID_MS = 2500;

/**
 * Spreads questions to the advice service over the boxes, since the service takes those of one box in turn: one at a time from
 * each, urgent ones first.
 */
export class AdviceDesk {
  private readonly queued: Question[] = [];
  private readonly loads = new Map<string, AskerLoad>();
  private isStopped = false;

  constructor(private readonly options: AdviceDeskOptions) {}

  queueQuestion(question: Question): void {
    const firstPatient = this.queued.findIndex((other) => !other.isUrgent);
    if (question.isUrgent && firstPatient >= 0) {
      this.queued.splice(firstPatient, 0, question);
    } else {
      this.queued.push(question);
    }
    this.sendQueued();
  }

  stop(): void {
    this.isStopped = true;
    this.queued.length = 0;
  }

  private sendQueued(): void {
    for (const question of [...this.queued]) {
      const asker = this.chooseAsker(question);
      if (asker !== undefined) {
        this.queued.splice(this.queued.indexOf(question), 1);
        void this.sendQuestion(question, asker);
      }
    }
  }

  private chooseAsker(question: Question): AdviceAsker | undefined {
    const now = this.options.clock.readNow();
    const askers = this.options.readAskers();
    const usable = askers.filter(({ box }) => {
      const load = this.loads.get(box);
      return load === undefined || (!load.isBusy && load.avoidUntil <= now);
    });
    const isLong = question.expectedMs > LONG_QUESTION_MS;
    if (!isLong) {
      return usable[0];
    }
    // With no other box at hand the leader's own has to do.
    const others = usable.filter(({ isOwn }) => !isOwn);
    const hasOthers = askers.some(
      ({ box, isOwn }) => !isOwn && (this.loads.get(box)?.avoidUntil ?? 0) <= now,
    );
    return hasOthers ? others[others.length - 1] : usable[0];
  }

  private async sendQuestion(question: Question, asker: AdviceAsker): Promise<void> {
    const load = this.loads.get(asker.box) ?? { isBusy: false, avoidUntil: 0 };
    this.loads.set(asker.box, load);
    load.isBusy = true;
    const timeoutMs = question.expectedMs + ANSWER_MARGIN_MS;
    const answer = await asker.client.sendQuestion(question.step, question.endpoints, timeoutMs);
    load.isBusy = false;
    if (this.isStopped) {
      return;
    }
    if (answer === undefined) {
      load.avoidUntil = this.options.clock.readNow() + AVOID_MS;
    }
    this.options.handleAnswer(question, answer);
    this.sendQueued();
  }
}
