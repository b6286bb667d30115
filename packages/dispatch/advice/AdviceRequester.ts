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

/** Number of candidates in the request that a job's objective allows time for. */
const BUDGETED_CANDIDATES = 30;
/** Delay from a response to the starts that use it. */
const START_DELAY_MS = 120;
/** Time between the expected response to an early request and the moment at which its step becomes ready. */
const EARLY_MARGIN_MS = 150;

interface AdviceRequesterOptions {
  readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly capacity: CapacityView;
  readonly limits: StepLimiter;
  readonly policy: AdvicePolicy;
  readonly selector: CandidateSelector;
  readonly stats: AdviceStats;
  readonly metrics: AdviceMetrics;
  readonly sendEffect: (effect: Extract<DispatchEffect, { kind: 'advise' }>) => void;
}

/** Decides when to request advice for a step, and about which endpoints. */
export class AdviceRequester {
  private slots: AdviceSlots = { all: 0, long: 0 };

  constructor(private readonly options: AdviceRequesterOptions) {}

  /**
   * Sets how many requests this round may send. Requests without a slot are not queued: a later round decides anew, in placement order,
   * whether they are still needed.
   */
  startRound(slots: AdviceSlots): void {
    this.slots = slots;
    this.options.selector.startRound();
  }

  /**
   * Requests advice for the tasks of a step that found no endpoint with a ticket valid until `neededUntil`, if that is useful now.
   * Returns what the tasks wait for.
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
    const stepAdvice = step.job.getAdvice(step.repetition, step.step);
    if (!isEarly) {
      this.options.selector.recordStep(step, missing);
    }
    if (advice === undefined || stepAdvice.isDeferred(now)) {
      return 'room';
    }
    if (!stepAdvice.canRequest(now)) {
      return 'answer';
    }
    const { capacity: capacityView, policy, selector } = this.options;
    const isLong = policy.isLong(advice, capacityView.isMostUrgent(step.job.definition.queue));
    if (!this.hasSlot(isLong)) {
      return 'turn';
    }
    const candidates = selector
      .chooseEndpoints(step, eligible, missing, neededUntil, now)
      .slice(0, policy.maxCandidates);
    if (candidates.length === 0) {
      stepAdvice.recordDeferral(now, now + policy.computeDeferralMs(advice));
      return 'room';
    }
    this.slots = { all: this.slots.all - 1, long: this.slots.long - (isLong ? 1 : 0) };
    const endpoints = candidates.map((endpoint) => endpoint.getProfile().incarnation);
    const cause = isEarly ? 'early' : this.getReason(stepAdvice, endpoints);
    const name = toStepName(step);
    const { stats, metrics, sendEffect } = this.options;
    stepAdvice.recordRequest(now);
    stats.recordRequest(endpoints);
    metrics.recordRequest(cause);
    const expectedMs = advice.decisionMs + advice.perEndpointMs * candidates.length;
    sendEffect({ kind: 'advise', step: name, endpoints, expectedMs, isLong, cause });
    return 'answer';
  }

  private getReason(advice: StepAdvice, endpoints: readonly EndpointIncarnation[]): AdviceRequestReason {
    if (!advice.hasResponse()) {
      return 'first';
    }
    return endpoints.every((endpoint) => advice.hasBeenAllowed(endpoint)) ? 'again' : 'more';
  }

  /** Records that a task of the step is started on an endpoint, with its ticket if one is needed. */
  recordTicketUse({ job, repetition: time, step }: WaitingStep, endpoint: EndpointIncarnation): void {
    const source = job.getAdvice(time, step).getSource(endpoint);
    if (source !== undefined) {
      this.options.metrics.recordTicketUse(source);
    }
  }

  /** Returns the expected time from a request for the step to the starts that use its response, in milliseconds; 0 if no advice is needed. */
  estimateResponseMs({ job }: WaitingStep): number {
    const { advice } = job.definition.queue;
    return advice === undefined
      ? 0
      : advice.decisionMs + advice.perEndpointMs * BUDGETED_CANDIDATES + START_DELAY_MS;
  }

  private hasSlot(isLong: boolean): boolean {
    return this.slots.all > 0 && (!isLong || this.slots.long > 0);
  }

  /** Requests advice for later steps of a job that are about to become ready. */
  sendEarlyRequests(job: LiveJob, now: number, wallMs: number): void {
    const { definition, progress } = job;
    const { advice } = definition.queue;
    if (advice === undefined || progress.isEnded() || definition.steps.length === 1 || this.slots.all === 0) {
      return;
    }
    for (let time = 0; time < definition.times && job.getDueAtMs(time) <= wallMs; time += 1) {
      for (const [step, shape] of definition.steps.entries()) {
        const isLater = shape.dependsOn.length > 0 && !progress.isStepReady(time, step);
        if (!isLater || job.getAdvice(time, step).isRequestPending()) {
          continue;
        }
        const leadMs = advice.decisionMs + advice.perEndpointMs * BUDGETED_CANDIDATES + EARLY_MARGIN_MS;
        if (this.estimateReadyInMs(job, time, step, now) <= leadMs) {
          const indexes = progress.listTasks(time, step).map((_task, index) => index);
          this.sendEarlyRequest(
            { job, repetition: time, step, shape, indexes, objectiveAtMs: job.getObjectiveAtMs(time) },
            now,
          );
        }
      }
    }
  }

  private sendEarlyRequest(whole: WaitingStep, now: number): void {
    const { limits, capacity: capacityView } = this.options;
    const step = limits.computeMaxStartable(whole);
    if (step !== undefined) {
      this.requestAdvice(step, capacityView.listEligible(step), step.indexes.length, now, now, true);
    }
  }

  /** Returns the estimated time until a later step becomes ready, in milliseconds; Infinity while a task that it depends on waits. */
  private estimateReadyInMs(job: LiveJob, time: number, step: number, now: number): number {
    let readyInMs = 0;
    for (const earlier of job.definition.steps[step]!.dependsOn) {
      for (const [index, task] of job.progress.listTasks(time, earlier).entries()) {
        if (task.phase === 'waiting') {
          return Infinity;
        }
        if (task.phase === 'placed') {
          const name = toTaskName(job.definition.id, { repetition: time, step: earlier, index });
          const run = this.options.endpoints.get(task.endpoint)?.getRun(name, task.runNumber);
          const estimatedMs = job.definition.steps[earlier]!.estimatedMs;
          readyInMs = Math.max(readyInMs, run === undefined ? 0 : estimateRemainingMs(run, estimatedMs, now));
        }
      }
    }
    return readyInMs;
  }
}
