import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { toTaskName } from '../../jobs/toTaskName';
import type { StepAdvice } from './StepAdvice';
import type { AdviceStats } from './AdviceStats';
import type { AdviceSlots } from './AdviceSlots';
import type { CandidateSelector } from './CandidateSelector';
import type { AdviceRequestReason } from './AdviceRequestReason';
import type { AdviceMetrics } from './AdviceMetrics';
import type { AdvicePolicy } from './AdvicePolicy';
import { OverdueRequests } from './OverdueRequests';
import type { DispatchEffect } from '../DispatchEffect';
import type { EndpointState } from '../endpoints/EndpointState';
import type { StepLimiter } from '../placing/StepLimiter';
import type { LiveJob } from '../waiting/LiveJob';
import { estimateRemainingMs } from '../runs/estimateRemainingMs';
import type { CapacityView } from '../placing/CapacityView';
import type { LineFields } from '../../logging/LineFields';
import { SlotUsage } from './SlotUsage';
import { toStepName } from '../waiting/toStepName';
import type { WaitCause } from '../waiting/WaitCause';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Number of candidates assumed when the response time of a future request is estimated. */
const BUDGETED_CANDIDATES = 30;
/** Expected delay from a response to the starts that use it. */
const RESPONSE_TO_START_MS = 120;
/** Maximum number of overdue steps that a round considers although a request would not be useful for them. */
const MAX_USELESS_STEPS = 4;
/** Time by which the response to an early request is expected to arrive before its step becomes ready. */
const EARLY_MARGIN_MS = 150;

/**
 * Where in a round a request is sent.
 * - `ordered`: in placement order, for a step that is ready.
 * - `overdue`: ahead of the placement order, for a step that is ready.
 * - `early`: after the placement, for a step that is not ready yet.
 */
type RequestStage = 'ordered' | 'overdue' | 'early';

interface AdviceRequesterOptions {
  readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly capacityView: CapacityView;
  readonly limiter: StepLimiter;
  readonly policy: AdvicePolicy;
  readonly selector: CandidateSelector;
  readonly stats: AdviceStats;
  readonly metrics: AdviceMetrics;
  readonly sendEffect: (effect: Extract<DispatchEffect, { kind: 'advise' }>) => void;
}

/** Sends advice requests for steps, within the slots of a round and when the selector finds useful candidates. */
export class AdviceRequester {
  /** Requests that this round may still send. */
  private remainingSlots: AdviceSlots = { all: 0, long: 0, quarantined: 0 };
  private readonly overdueRequests = new OverdueRequests();
  private readonly slotUsage = new SlotUsage();

  constructor(private readonly options: AdviceRequesterOptions) {}

  /**
   * Begins a round of placement, also for the selector, and sets how many requests it may send. Requests without a slot are not queued:
   * a later round decides anew, in placement order, whether they are still needed.
   */
  startRound(slots: AdviceSlots, now: number): void {
    this.remainingSlots = slots;
    this.slotUsage.startRound(slots);
    this.overdueRequests.startRound(this.slotUsage.countSlots(), now);
    this.options.selector.startRound();
  }

  /**
   * Requests advice for `missing` tasks of a step, which found no endpoint with a ticket valid until `neededUntil`. Sends no request while
   * requests are deferred, one is pending, a failed one is not to be repeated yet, or no slot is free; defers requests if the selector
   * finds no useful candidates. Records the step with the selector if the request is sent in placement order. Returns what the tasks
   * wait for.
   */
  requestAdvice(
    step: WaitingStep,
    eligible: readonly EndpointState[],
    missing: number,
    now: number,
    neededUntil = now,
    stage: RequestStage = 'ordered',
  ): WaitCause {
    const queue = step.job.getQueue();
    const { advice } = queue;
    const stepAdvice = step.job.getStepAdvice(step.repetition, step.step);
    if (stage === 'ordered') {
      this.options.selector.recordStep(step, missing);
    }
    if (advice === undefined || stepAdvice.isRequestDeferred(now)) {
      return 'room';
    }
    if (!stepAdvice.canRequest(now)) {
      return 'answer';
    }
    const { capacityView, policy, selector } = this.options;
    const isLong = policy.isLongRequest(advice, capacityView.isMostUrgentQueue(queue));
    if (!this.hasSlot(isLong)) {
      if (stage === 'ordered') {
        stepAdvice.recordSlotWait(now);
        this.slotUsage.recordSlotWait(queue.name, now - (stepAdvice.getSlotWaitSince() ?? now));
      }
      return 'turn';
    }
    const candidates = selector
      .chooseEndpoints(step, eligible, missing, neededUntil, now)
      .slice(0, policy.maxCandidates);
    if (candidates.length === 0) {
      stepAdvice.recordDeferral(now, now + policy.computeDeferralMs(advice));
      return 'room';
    }
    this.remainingSlots = {
      ...this.remainingSlots,
      all: this.remainingSlots.all - 1,
      long: this.remainingSlots.long - (isLong ? 1 : 0),
    };
    const endpoints = candidates.map((endpoint) => endpoint.getProfile().incarnation);
    const cause = stage === 'early' ? 'early' : this.getReason(stepAdvice, endpoints);
    const name = toStepName(step);
    const { stats, metrics, sendEffect } = this.options;
    stepAdvice.recordRequest(now);
    stats.recordRequest(endpoints);
    metrics.recordRequest(cause);
    const expectedResponseMs = advice.decisionMs + advice.perEndpointMs * candidates.length;
    this.slotUsage.recordRequest(name, {
      queue: queue.name,
      isLong,
      isOverdue: stage === 'overdue',
      expectedResponseMs,
      requestedAt: now,
    });
    this.overdueRequests.recordRequest(queue.name, now);
    if (stage === 'overdue') {
      this.overdueRequests.recordSlotTime(expectedResponseMs);
    }
    sendEffect({
      kind: 'advise',
      step: name,
      candidates: endpoints,
      expectedResponseMs,
      isLongRequest: isLong,
      adviceReason: cause,
    });
    return 'answer';
  }

  /** Records the end of the request for a step (see `toStepName`), `tookMs` after it was sent, with or without a response. */
  recordRequestEnd(step: string, tookMs: number): void {
    const request = this.slotUsage.takeRequest(step);
    if (request?.isOverdue === true) {
      this.overdueRequests.recordSlotTime(Math.max(0, tookMs - request.expectedResponseMs));
    }
  }

  /** Returns the fields of a log line on the use of the slots when a step has waited long for one; undefined when none is due. */
  createShortageFields(now: number): LineFields | undefined {
    return this.slotUsage.createShortageFields(now);
  }

  /**
   * Calls `requestAdvice` for the waiting steps that are overdue, until their share of the slots is used up, it finds no slot, or
   * `MAX_USELESS_STEPS` steps had no use for a request. It returns what the tasks of a step wait for; if no request would be useful, the step
   * begins a new wait for a slot.
   */
  sendOverdueRequest(
    waiting: readonly WaitingStep[],
    now: number,
    requestAdvice: (step: WaitingStep) => WaitCause,
  ): void {
    const isTried = this.slotUsage.hasLongWait() && this.overdueRequests.canSendRequest();
    if (this.remainingSlots.all === 0 || !isTried) {
      return;
    }
    let uselessCount = 0;
    for (const step of this.overdueRequests.listFirstSteps(waiting, now)) {
      if (!this.overdueRequests.canSendRequest() || uselessCount >= MAX_USELESS_STEPS) {
        return;
      }
      const cause = requestAdvice(step);
      if (cause === 'turn') {
        // Without a slot for long requests, the share is kept for the round in which one is free.
        return;
      }
      if (cause !== 'answer') {
        uselessCount += 1;
        step.job.getStepAdvice(step.repetition, step.step).clearSlotWait();
      }
    }
  }

  /** Returns the reason for a request that is not early, by the responses known for the step. */
  private getReason(advice: StepAdvice, endpoints: readonly EndpointIncarnation[]): AdviceRequestReason {
    if (!advice.hasResponse()) {
      return 'first';
    }
    return endpoints.every((endpoint) => advice.hasBeenAllowed(endpoint)) ? 'again' : 'more';
  }

  /** Counts the request that got the step's ticket for an endpoint as used, when a task starts there. Does nothing without a ticket. */
  recordTicketUse({ job, repetition, step }: WaitingStep, endpoint: EndpointIncarnation): void {
    const request = job.getStepAdvice(repetition, step).getTicketRequest(endpoint);
    if (request !== undefined) {
      this.options.metrics.recordTicketUse(request);
    }
  }

  /** Returns the expected time from a request for the step to the starts that use its response, in milliseconds; 0 without advice. */
  estimateRequestToStartMs({ job }: WaitingStep): number {
    const { advice } = job.getQueue();
    return advice === undefined
      ? 0
      : advice.decisionMs + advice.perEndpointMs * BUDGETED_CANDIDATES + RESPONSE_TO_START_MS;
  }

  private hasSlot(isLong: boolean): boolean {
    return this.remainingSlots.all > 0 && (!isLong || this.remainingSlots.long > 0);
  }

  /**
   * Requests advice for the dependent steps of a job that are expected to become ready about when the response arrives. Skips steps with a
   * pending request and repetitions that are not due.
   */
  sendEarlyRequests(job: LiveJob, now: number, wallMs: number): void {
    const { definition, progress } = job;
    const { advice } = job.getQueue();
    if (
      advice === undefined ||
      progress.isEnded() ||
      definition.steps.length === 1 ||
      this.remainingSlots.all === 0
    ) {
      return;
    }
    for (
      let repetition = 0;
      repetition < definition.times && job.getDueAtMs(repetition) <= wallMs;
      repetition += 1
    ) {
      for (const [step, shape] of definition.steps.entries()) {
        const isLater = shape.dependsOn.length > 0 && !progress.isStepReady(repetition, step);
        if (!isLater || job.getStepAdvice(repetition, step).isRequestPending()) {
          continue;
        }
        const leadMs = advice.decisionMs + advice.perEndpointMs * BUDGETED_CANDIDATES + EARLY_MARGIN_MS;
        if (this.estimateStepReadyInMs(job, repetition, step, now) <= leadMs) {
          const indexes = progress.listTasks(repetition, step).map((_task, index) => index);
          this.sendEarlyRequest(
            { job, repetition, step, shape, indexes, objectiveAtMs: job.getObjectiveAtMs(repetition) },
            now,
          );
        }
      }
    }
  }

  /** Requests advice for the tasks of a step that its customer's limit lets start; none if there are no such tasks. */
  private sendEarlyRequest(whole: WaitingStep, now: number): void {
    const { limiter, capacityView } = this.options;
    const step = limiter.computeMaxStartablePart(whole);
    if (step !== undefined) {
      this.requestAdvice(
        step,
        capacityView.listEligibleEndpoints(step),
        step.indexes.length,
        now,
        now,
        'early',
      );
    }
  }

  /**
   * Returns the estimated time until a dependent step becomes ready, in milliseconds: the longest remaining time of the placed tasks that
   * it depends on; Infinity while one of them waits.
   */
  private estimateStepReadyInMs(job: LiveJob, repetition: number, step: number, now: number): number {
    let readyInMs = 0;
    for (const earlier of job.definition.steps[step]!.dependsOn) {
      for (const [index, task] of job.progress.listTasks(repetition, earlier).entries()) {
        if (task.phase === 'waiting') {
          return Infinity;
        }
        if (task.phase === 'placed') {
          const name = toTaskName(job.definition.id, { repetition, step: earlier, index });
          const run = this.options.endpoints.get(task.endpoint)?.getRun(name, task.runNumber);
          const estimatedMs = job.definition.steps[earlier]!.estimatedMs;
          readyInMs = Math.max(readyInMs, run === undefined ? 0 : estimateRemainingMs(run, estimatedMs, now));
        }
      }
    }
    return readyInMs;
  }
}
