import type { EndpointLife } from '../../jobs/EndpointLife';
import { toTaskName } from '../../jobs/toTaskName';
import type { AdviceBook } from './AdviceBook';
import type { AdviceHistory } from './AdviceHistory';
import type { AdviceTurns } from './AdviceTurns';
import type { CandidateChoice } from './CandidateChoice';
import type { QuestionCause } from './QuestionCause';
import type { TurnAccount } from './TurnAccount';
import type { TurnWay } from './TurnWay';
import type { DispatchEffect } from '../DispatchEffect';
import type { EndpointBook } from '../endpoints/EndpointBook';
import type { LimitView } from '../placing/LimitView';
import type { LiveJob } from '../waiting/LiveJob';
import { readRemainingMs } from '../runs/readRemainingMs';
import type { RoomView } from '../placing/RoomView';
import { toStepName } from '../waiting/toStepName';
import type { WaitCause } from '../waiting/WaitCause';
import type { WaitingStep } from '../waiting/WaitingStep';

/** A question that names so many endpoints is counted in a job's objective; the time of its answer is foreseen for that. */
const MAX_NAMED = 30;
/** From the answer to a question to a start that uses it. */
const USE_ANSWER_MS = 120;
/** A question for a later step is sent so long before it is expected to be ready, beyond the question's own time. */
const EARLY_MARGIN_MS = 150;
interface AdviceQuestionsOptions {
  readonly books: ReadonlyMap<EndpointLife, EndpointBook>;
  readonly room: RoomView;
  readonly limits: LimitView;
  readonly way: TurnWay;
  readonly candidates: CandidateChoice;
  readonly history: AdviceHistory;
  readonly account: TurnAccount;
  readonly sendEffect: (effect: Extract<DispatchEffect, { kind: 'advise' }>) => void;
}

/** Decides when to ask the advice service, and about which endpoints. */
export class AdviceQuestions {
  private turns: AdviceTurns = { all: 0, long: 0 };

  constructor(private readonly options: AdviceQuestionsOptions) {}

  /**
   * Sets how many questions this round may ask. What finds no turn is asked in a later round if it still has to be, in the order
   * of placement: a queue of questions would grow old, and be worked through although its steps had been served.
   */
  startRound(turns: AdviceTurns): void {
    this.turns = turns;
    this.options.candidates.startRound();
  }

  /**
   * Asks about endpoints for the tasks of a step that found none with a ticket that holds until `neededUntil`. Returns what the
   * tasks wait for from now on.
   */
  sendQuestion(
    step: WaitingStep,
    eligible: readonly EndpointBook[],
    missing: number,
    now: number,
    neededUntil = now,
    isEarly = false,
  ): WaitCause {
    const { advice } = step.job.definition.queue;
    const book = step.job.readAdvice(step.time, step.step);
    if (!isEarly) {
      this.options.candidates.recordStep(step, missing);
    }
    if (advice === undefined || book.isIdle(now)) {
      return 'room';
    }
    if (!book.isAskable(now)) {
      return 'answer';
    }
    const { room, way, candidates } = this.options;
    const isLong = way.isLong(advice, room.isMostUrgent(step.job.definition.queue));
    if (!this.hasTurn(isLong)) {
      return 'turn';
    }
    const named = candidates.chooseNamed(step, eligible, missing, neededUntil, now).slice(0, way.maxNamed);
    if (named.length === 0) {
      book.recordIdle(now, now + way.readIdleMs(advice));
      return 'room';
    }
    this.turns = { all: this.turns.all - 1, long: this.turns.long - (isLong ? 1 : 0) };
    const endpoints = named.map((endpoint) => endpoint.readProfile().life);
    const cause = isEarly ? 'early' : this.readCause(book, endpoints);
    const name = toStepName(step);
    const { history, account, sendEffect } = this.options;
    book.recordQuestion(now);
    history.recordQuestion(endpoints);
    account.recordQuestion(cause);
    const expectedMs = advice.decisionMs + advice.perEndpointMs * named.length;
    sendEffect({ kind: 'advise', step: name, endpoints, expectedMs, isLong, cause });
    return 'answer';
  }

  private readCause(book: AdviceBook, endpoints: readonly EndpointLife[]): QuestionCause {
    if (!book.isAnswered()) {
      return 'first';
    }
    return endpoints.every((life) => book.hasBeenAllowed(life)) ? 'again' : 'more';
  }

  /** A task of the step is started on an endpoint, with the ticket for it if it needs one. */
  recordUse({ job, time, step }: WaitingStep, endpoint: EndpointLife): void {
    const source = job.readAdvice(time, step).readSource(endpoint);
    if (source !== undefined) {
      this.options.account.recordUse(source);
    }
  }

  /** Time from a question about the step to its answer, in milliseconds; 0 where none is needed. */
  readAnswerMs({ job }: WaitingStep): number {
    const { advice } = job.definition.queue;
    return advice === undefined ? 0 : advice.decisionMs + advice.perEndpointMs * MAX_NAMED + USE_ANSWER_MS;
  }

  private hasTurn(isLong: boolean): boolean {
    return this.turns.all > 0 && (!isLong || this.turns.long > 0);
  }

  /** Asks for advice on steps that are about to become ready. */
  sendEarlyQuestions(job: LiveJob, now: number, wallMs: number): void {
    const { definition, progress } = job;
    const { advice } = definition.queue;
    if (advice === undefined || progress.isEnded() || definition.steps.length === 1 || this.turns.all === 0) {
      return;
    }
    for (let time = 0; time < definition.times && job.readDueAtMs(time) <= wallMs; time += 1) {
      for (const [step, shape] of definition.steps.entries()) {
        const isLater = shape.dependsOn.length > 0 && !progress.isStepReady(time, step);
        if (!isLater || job.readAdvice(time, step).isBusy()) {
          continue;
        }
        const leadMs = advice.decisionMs + advice.perEndpointMs * MAX_NAMED + EARLY_MARGIN_MS;
        if (this.readReadyInMs(job, time, step, now) <= leadMs) {
          const indexes = progress.readTasks(time, step).map((_task, index) => index);
          this.sendEarlyQuestion(
            { job, time, step, shape, indexes, objectiveAtMs: job.readObjectiveAtMs(time) },
            now,
          );
        }
      }
    }
  }

  private sendEarlyQuestion(whole: WaitingStep, now: number): void {
    const { limits, room } = this.options;
    const step = limits.readEverStartable(whole);
    if (step !== undefined) {
      this.sendQuestion(step, room.readEligible(step), step.indexes.length, now, now, true);
    }
  }

  /** Estimated time until a later step becomes ready; Infinity while an earlier one has not started. */
  private readReadyInMs(job: LiveJob, time: number, step: number, now: number): number {
    let readyInMs = 0;
    for (const earlier of job.definition.steps[step]!.dependsOn) {
      for (const [index, task] of job.progress.readTasks(time, earlier).entries()) {
        if (task.phase === 'waiting') {
          return Infinity;
        }
        if (task.phase === 'placed') {
          const name = toTaskName(job.definition.id, { time, step: earlier, index });
          const run = this.options.books.get(task.endpoint)?.readRun(name, task.run);
          const estimatedMs = job.definition.steps[earlier]!.estimatedMs;
          readyInMs = Math.max(readyInMs, run === undefined ? 0 : readRemainingMs(run, estimatedMs, now));
        }
      }
    }
    return readyInMs;
  }
}
