import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toTaskName } from '../../jobs/toTaskName';
import type { StepAdvice } from './StepAdvice';
import type { AdviceStats } from './AdviceStats';
import type { AdviceSlots } from './AdviceSlots';
import type { CandidateSelector } from './CandidateSelector';
import type { AdviceRequestReason } from './AdviceRequestReason';
import type { AdviceMetrics } from './AdviceMetrics';
import type { AdvicePolicy } from './AdvicePolicy';
import type { DispatchEffect } from '../DispatchEffect';
import type { EndpointState } from '../endpoints/EndpointState';
import type { StepLimiter } from '../placing/StepLimiter';
import type { LiveJob } from '../waiting/LiveJob';
import { estimateRemainingMs } from '../runs/estimateRemainingMs';
import type { CapacityView } from '../placing/CapacityView';
import { toStepName } from '../waiting/toStepName';
import type { WaitCause } from '../waiting/WaitCause';
import type { WaitingStep } from '../waiting/WaitingStep';

/** A question that names so many endpoints is counted in a job's objective; the time of its answer is foreseen for that. */
const MAX_NAMED = 30;
/** From the answer to a question to a start that uses it. */
const USE_ANSWER_MS = 120;
/** A question for a later step is sent so long before it is expected to be ready, beyond the question's own time. */
const EARLY_MARGIN_MS = 150;
interface AdviceRequesterOptions {
  readonly books: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly room: CapacityView;
  readonly limits: StepLimiter;
  readonly policy: AdvicePolicy;
  readonly selector: CandidateSelector;
  readonly stats: AdviceStats;
  readonly metrics: AdviceMetrics;
  readonly sendEffect: (effect: Extract<DispatchEffect, { kind: 'advise' }>) => void;
}

/** Decides when to ask the advice service, and about which endpoints. */
export class AdviceRequester {
  private turns: AdviceSlots = { all: 0, long: 0 };

  constructor(private readonly options: AdviceRequesterOptions) {}

  /**
   * Sets how many questions this round may ask. What finds no turn is asked in a later round if it still has to be, in the order
   * of placement: a queue of questions would grow old, and be worked through although its steps had been served.
   */
  startRound(turns: AdviceSlots): void {
    this.turns = turns;
    this.options.selector.startRound();
  }

  /**
   * Asks about endpoints for the tasks of a step that found none with a ticket that holds until `neededUntil`. Returns what the
   * tasks wait for from now on.
   */
  requestAdvice(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    now: number,
    neededUntil = now,
    isEarly = false,
  ): WaitCause {
    const { advice } = step.job.definition.queue;
    const book = step.job.getAdvice(step.time, step.step);
    if (!isEarly) {
      this.options.selector.recordStep(step, missing);
    }
    if (advice === undefined || book.isIdle(now)) {
      return 'room';
    }
    if (!book.isAskable(now)) {
      return 'answer';
    }
    const { room, policy: way, selector: candidates } = this.options;
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
    const endpoints = named.map((endpoint) => endpoint.getProfile().incarnation);
    const cause = isEarly ? 'early' : this.readCause(book, endpoints);
    const name = toStepName(step);
    const { stats: history, metrics: account, sendEffect } = this.options;
    book.recordQuestion(now);
    history.recordQuestion(endpoints);
    account.recordQuestion(cause);
    const expectedMs = advice.decisionMs + advice.perEndpointMs * named.length;
    sendEffect({ kind: 'advise', step: name, endpoints, expectedMs, isLong, cause });
    return 'answer';
  }

  private readCause(book: StepAdvice, endpoints: readonly EndpointIncarnation[]): AdviceRequestReason {
    if (!book.isAnswered()) {
      return 'first';
    }
    return endpoints.every((life) => book.hasBeenAllowed(life)) ? 'again' : 'more';
  }

  /** A task of the step is started on an endpoint, with the ticket for it if it needs one. */
  recordTicketUse({ job, time, step }: WaitingStep, endpoint: EndpointIncarnation): void {
    const source = job.getAdvice(time, step).readSource(endpoint);
    if (source !== undefined) {
      this.options.metrics.recordUse(source);
    }
  }

  /** Time from a question about the step to its answer, in milliseconds; 0 where none is needed. */
  estimateResponseMs({ job }: WaitingStep): number {
    const { advice } = job.definition.queue;
    return advice === undefined ? 0 : advice.decisionMs + advice.perEndpointMs * MAX_NAMED + USE_ANSWER_MS;
  }

  private hasTurn(isLong: boolean): boolean {
    return this.turns.all > 0 && (!isLong || this.turns.long > 0);
  }

  /** Asks for advice on steps that are about to become ready. */
  sendEarlyRequests(job: LiveJob, now: number, wallMs: number): void {
    const { definition, progress } = job;
    const { advice } = definition.queue;
    if (advice === undefined || progress.isEnded() || definition.steps.length === 1 || this.turns.all === 0) {
      return;
    }
    for (let time = 0; time < definition.times && job.getDueAtMs(time) <= wallMs; time += 1) {
      for (const [step, shape] of definition.steps.entries()) {
        const isLater = shape.dependsOn.length > 0 && !progress.isStepReady(time, step);
        if (!isLater || job.getAdvice(time, step).isBusy()) {
          continue;
        }
        const leadMs = advice.decisionMs + advice.perEndpointMs * MAX_NAMED + EARLY_MARGIN_MS;
        if (this.readReadyInMs(job, time, step, now) <= leadMs) {
          const indexes = progress.listTasks(time, step).map((_task, index) => index);
          this.sendEarlyQuestion(
            { job, time, step, shape, indexes, objectiveAtMs: job.getObjectiveAtMs(time) },
            now,
          );
        }
      }
    }
  }

  private sendEarlyQuestion(whole: WaitingStep, now: number): void {
    const { limits, room } = this.options;
    const step = limits.computeMaxStartable(whole);
    if (step !== undefined) {
      this.requestAdvice(step, room.listEligible(step), step.indexes.length, now, now, true);
    }
  }

  /** Estimated time until a later step becomes ready; Infinity while an earlier one has not started. */
  private readReadyInMs(job: LiveJob, time: number, step: number, now: number): number {
    let readyInMs = 0;
    for (const earlier of job.definition.steps[step]!.dependsOn) {
      for (const [index, task] of job.progress.listTasks(time, earlier).entries()) {
        if (task.phase === 'waiting') {
          return Infinity;
        }
        if (task.phase === 'placed') {
          const name = toTaskName(job.definition.id, { time, step: earlier, index });
          const run = this.options.books.get(task.endpoint)?.getRun(name, task.run);
          const estimatedMs = job.definition.steps[earlier]!.estimatedMs;
          readyInMs = Math.max(readyInMs, run === undefined ? 0 : estimateRemainingMs(run, estimatedMs, now));
        }
      }
    }
    return readyInMs;
  }
}
