import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobDefinition } from '../../jobs/JobDefinition';
import type { JobQueue } from '../../jobs/JobQueue';
import type { JobProgress } from '../../jobs/JobProgress';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskName } from '../../jobs/TaskName';
import { computeCriticalPaths } from '../../jobs/computeCriticalPaths';
import { computeTaskWorkMs } from '../../jobs/computeTaskWorkMs';
import { toTaskName } from '../../jobs/toTaskName';
import { JobTrace } from '../../logging/JobTrace';
import { StepAdvice } from '../advice/StepAdvice';
import { StepRunTimes } from '../speeds/StepRunTimes';
import type { GangCheckpoint } from '../stops/GangCheckpoint';
import { StepSpeeds } from './StepSpeeds';
import { StepWait } from './StepWait';
import { listWaitingSteps } from './listWaitingSteps';
import type { WaitingStep } from './WaitingStep';

/** State of one step in one repetition that the leader keeps in memory only. */
interface StepState {
  readonly advice: StepAdvice;
  readonly speeds: StepSpeeds;
  readonly runTimes: StepRunTimes;
  /** Endpoints on which runs of the step failed, or from which they were moved. */
  readonly failedOnEndpoints: Set<EndpointIncarnation>;
  /** Newest checkpoint that an ended member left; undefined when none is known, or when the step is no gang. */
  gangCheckpoint: GangCheckpoint | undefined;
  /** Number of preemptions for the step since its last placement, and the monotonic time from which the next preemption is allowed. */
  preemptionAttempts: { readonly count: number; readonly retryAt: number };
  /** Wait since the last placement; undefined while no round has found tasks of the step waiting. */
  wait: StepWait | undefined;
}

const NO_PREEMPTION_ATTEMPTS = { count: 0, retryAt: -Infinity };

/** Waiting steps, valid for one version of the progress and a span of time. */
interface CachedWaitingSteps {
  readonly steps: readonly WaitingStep[];
  readonly progressVersion: number;
  /** Wall clock time from which the steps are valid, and the one at which the next repetition falls due, which ends their validity. */
  readonly validFromMs: number;
  readonly validUntilMs: number;
}

/**
 * Backoff after the second consecutive rejected start of a task, doubled with each further one up to the maximum. Without it, a task that no endpoint
 * accepts would be sent in every round. The platform counts a job as lost that has nothing running for 3 s.
 */
const INITIAL_REJECTION_BACKOFF_MS = 100;
const MAX_REJECTION_BACKOFF_MS = 2000;

/** State of a job that the leader keeps in memory: its progress, its waiting steps, and the waits, backoffs and preemptions. */
export class LiveJob {
  /** State of the steps, by the number of steps in all repetitions before them. */
  private readonly stepStates = new Map<number, StepState>();
  /** Critical path from the start of each step to the end of the job, in milliseconds, by the index of the step. */
  private readonly stepCriticalPathsMs: readonly number[];
  private readonly jobCriticalPathMs: number;
  private cachedWaitingSteps: CachedWaitingSteps | undefined;
  /** Number of preemptions, by task. */
  private readonly taskPreemptionCounts = new Map<TaskName, number>();
  /** Number of starts that endpoints rejected since the last accepted one, by task. */
  private readonly taskStartRejectionCounts = new Map<TaskName, number>();
  /** Monotonic time before which a task isn't started again, by task. */
  private readonly retryAt = new Map<TaskName, number>();
  isCancelled = false;
  /** Policy that the job follows: that of its queue when it was accepted, or in a later version of the configuration. */
  private queue: JobQueue;
  /** Breakdown of the job's time, logged if the job fails or completes after its objective. */
  readonly trace: JobTrace;

  constructor(
    readonly definition: JobDefinition,
    readonly progress: JobProgress,
    /** Monotonic time at which this leader took over the job or, if later, of the newest end of one of its runs; new waits begin then. */
    public changedAt: number,
    /** The customer was over its share of the job rate when the job was accepted. */
    readonly isOverShare = false,
  ) {
    this.queue = definition.queue;
    this.trace = new JobTrace(changedAt);
    this.stepCriticalPathsMs = computeCriticalPaths(definition.steps);
    this.jobCriticalPathMs = Math.max(0, ...this.stepCriticalPathsMs);
  }

  /** Returns the policy that the job follows now. */
  getQueue(): JobQueue {
    return this.queue;
  }

  /** Sets the policy that the job follows from now on. */
  setQueue(queue: JobQueue): void {
    this.queue = queue;
    // Waiting steps hold objectives, which depend on the policy.
    this.cachedWaitingSteps = undefined;
  }

  /** Returns the wall clock time at which a repetition may start. */
  getDueAtMs(repetition: number): number {
    return this.definition.firstRunMs + repetition * this.definition.intervalMs;
  }

  /**
   * Returns the wall clock time by which a repetition should be complete. From its due time, or the acceptance of the job if that is later,
   * the objective allows the target latency of the queue plus `stretch` times the critical path.
   */
  getObjectiveAtMs(repetition: number): number {
    const startsAt = Math.max(this.definition.acceptedAtMs, this.getDueAtMs(repetition));
    return startsAt + this.queue.targetLatencyMs + this.queue.stretch * this.jobCriticalPathMs;
  }

  /** Returns the critical path from the start of a step to the end of the job, in milliseconds; 0 for an unknown step. */
  getCriticalPathMs(step: number): number {
    return this.stepCriticalPathsMs[step] ?? 0;
  }

  /** Returns the critical path from the end of a step to the end of the job, in milliseconds. */
  getCriticalPathAfterMs(step: number): number {
    const shape = this.definition.steps[step];
    const ownMs = shape === undefined ? 0 : computeTaskWorkMs(shape);
    return this.getCriticalPathMs(step) - ownMs;
  }

  /** Returns the steps with tasks that may start at a wall clock time. Cached until the progress changes or a repetition falls due. */
  getWaitingSteps(wallMs: number): readonly WaitingStep[] {
    const version = this.progress.getVersion();
    const cached = this.cachedWaitingSteps;
    if (cached?.progressVersion === version && wallMs >= cached.validFromMs && wallMs < cached.validUntilMs) {
      return cached.steps;
    }
    const steps = listWaitingSteps(this, wallMs);
    this.cachedWaitingSteps = {
      steps,
      progressVersion: version,
      validFromMs: wallMs,
      validUntilMs: this.getNextDueAtMs(wallMs),
    };
    return steps;
  }

  getStepAdvice(repetition: number, step: number): StepAdvice {
    return this.getStepState(repetition, step).advice;
  }

  getStepSpeeds(repetition: number, step: number): StepSpeeds {
    return this.getStepState(repetition, step).speeds;
  }

  getStepRunTimes(repetition: number, step: number): StepRunTimes {
    return this.getStepState(repetition, step).runTimes;
  }

  /** Returns the wait of a step since its last placement. Creates one that begins at `changedAt` when there is none. */
  getStepWait(repetition: number, step: number): StepWait {
    const state = this.getStepState(repetition, step);
    state.wait ??= new StepWait(this.changedAt);
    return state.wait;
  }

  /** Returns the waits of all steps that wait, each with the `REPETITION.STEP` of the step. */
  listStepWaits(): readonly (readonly [string, StepWait])[] {
    const stepCount = this.definition.steps.length;
    return [...this.stepStates].flatMap(([key, { wait }]) =>
      wait === undefined ? [] : [[`${Math.floor(key / stepCount)}.${key % stepCount}`, wait]],
    );
  }

  /**
   * Records that tasks of a step have been placed. Resets its preemption attempts and ends its wait; begins a new one at `now` if
   * `hasMore` tasks wait.
   */
  recordStepPlacement(repetition: number, step: number, now: number, hasMore: boolean): void {
    this.getStepState(repetition, step).preemptionAttempts = NO_PREEMPTION_ATTEMPTS;
    this.getStepState(repetition, step).wait = hasMore ? new StepWait(now) : undefined;
  }

  /** Returns the newest checkpoint left by a member of a step's gang; undefined when none is known. */
  getGangCheckpoint(repetition: number, step: number): string | undefined {
    return this.getStepState(repetition, step).gangCheckpoint?.checkpoint;
  }

  /** Keeps the checkpoint left by an ended member of a gang if it is of a later run than the known one, or of the same run and newer. */
  recordGangCheckpoint(repetition: number, step: number, saved: GangCheckpoint): void {
    const state = this.getStepState(repetition, step);
    const known = state.gangCheckpoint;
    if (
      known === undefined ||
      saved.runNumber > known.runNumber ||
      (saved.runNumber === known.runNumber && saved.savedAt > known.savedAt)
    ) {
      state.gangCheckpoint = saved;
    }
  }

  /** Returns the monotonic time from which runs may be preempted for a step again; -Infinity when nothing delays it. */
  getStepPreemptionRetryAt(repetition: number, step: number): number {
    return this.getStepState(repetition, step).preemptionAttempts.retryAt;
  }

  /** Records a preemption for a step. Delays the next one by `retryMs`, doubled with each one since the last placement of the step. */
  recordStepPreemption(repetition: number, step: number, now: number, retryMs: number): void {
    const state = this.getStepState(repetition, step);
    const { count } = state.preemptionAttempts;
    state.preemptionAttempts = { count: count + 1, retryAt: now + retryMs * 2 ** count };
  }

  /** Allows no preemption for a step until a monotonic time, without counting an attempt. */
  recordStepPreemptionBackoff(repetition: number, step: number, until: number): void {
    const state = this.getStepState(repetition, step);
    state.preemptionAttempts = { ...state.preemptionAttempts, retryAt: until };
  }

  /** Returns whether a run of the step failed on the endpoint, or was moved away from it. */
  hasStepFailureOn(repetition: number, step: number, endpoint: EndpointIncarnation): boolean {
    return this.getStepState(repetition, step).failedOnEndpoints.has(endpoint);
  }

  /** Records that a run of the step failed on the endpoint, or was moved away from it. */
  recordStepFailureOn(repetition: number, step: number, endpoint: EndpointIncarnation): void {
    this.getStepState(repetition, step).failedOnEndpoints.add(endpoint);
  }

  /** Returns how often the task was preempted under this leader. */
  countTaskPreemptions(task: TaskName): number {
    return this.taskPreemptionCounts.get(task) ?? 0;
  }

  recordTaskPreemption(task: TaskName): void {
    this.taskPreemptionCounts.set(task, this.countTaskPreemptions(task) + 1);
  }

  /** Delays the next start of a task until a monotonic time; keeps an earlier backoff that lasts longer. */
  recordTaskBackoff(address: TaskAddress, until: number): void {
    const task = toTaskName(this.definition.id, address);
    this.retryAt.set(task, Math.max(until, this.retryAt.get(task) ?? until));
  }

  /** Records that an endpoint rejected a start of the task. From the second consecutive one, delays the next start exponentially. */
  recordStartRejected(address: TaskAddress, now: number): void {
    const task = toTaskName(this.definition.id, address);
    const count = (this.taskStartRejectionCounts.get(task) ?? 0) + 1;
    this.taskStartRejectionCounts.set(task, count);
    if (count > 1) {
      const backoffMs = Math.min(MAX_REJECTION_BACKOFF_MS, INITIAL_REJECTION_BACKOFF_MS * 2 ** (count - 2));
      this.recordTaskBackoff(address, now + backoffMs);
    }
  }

  /** Records that an endpoint accepted a start of the task, which resets the count of its rejected starts. */
  recordStartAccepted(address: TaskAddress): void {
    if (this.taskStartRejectionCounts.size > 0) {
      this.taskStartRejectionCounts.delete(toTaskName(this.definition.id, address));
    }
  }

  /** Returns whether a start of any task has ever been delayed. */
  hasBackoff(): boolean {
    return this.retryAt.size > 0;
  }

  /** Returns whether the next start of the task is still delayed at the monotonic time `now`, after a crash or rejected starts. */
  isBackingOff(address: TaskAddress, now: number): boolean {
    return this.retryAt.size > 0 && now < (this.retryAt.get(toTaskName(this.definition.id, address)) ?? now);
  }

  /** Returns the state of a step, which it creates on the first call. */
  private getStepState(repetition: number, step: number): StepState {
    const key = repetition * this.definition.steps.length + step;
    const known = this.stepStates.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = {
      advice: new StepAdvice(),
      speeds: new StepSpeeds(),
      runTimes: new StepRunTimes(),
      failedOnEndpoints: new Set<EndpointIncarnation>(),
      gangCheckpoint: undefined,
      preemptionAttempts: NO_PREEMPTION_ATTEMPTS,
      wait: undefined,
    };
    this.stepStates.set(key, created);
    return created;
  }

  /** Returns the wall clock time at which the next repetition falls due; Infinity when all have. */
  private getNextDueAtMs(wallMs: number): number {
    for (let repetition = 0; repetition < this.definition.times; repetition += 1) {
      const dueAtMs = this.getDueAtMs(repetition);
      if (dueAtMs > wallMs) {
        return dueAtMs;
      }
    }
    return Infinity;
  }

  /** Returns whether a waiting task, or its gang, has failed as often as the policy allows, so that it may not start again. */
  hasExhaustedTask(): boolean {
    for (let repetition = 0; repetition < this.definition.times; repetition += 1) {
      for (const [step, { isLongRunning }] of this.definition.steps.entries()) {
        if (isLongRunning || this.progress.isStepDone(repetition, step)) {
          continue;
        }
        const isExhausted = this.progress
          .listTasks(repetition, step)
          .some(
            ({ phase, failureCount }, index) =>
              phase === 'waiting' &&
              failureCount > 0 &&
              this.countFailures(repetition, step, index) >= this.queue.attempts,
          );
        if (isExhausted) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the number of failed runs of a task, or of its gang by any member, which the allowed attempts limit. */
  countFailures(repetition: number, step: number, index: number): number {
    const tasks = this.progress.listTasks(repetition, step);
    if (this.definition.steps[step]?.isGang === true) {
      return tasks.reduce((sum, task) => sum + task.failureCount, 0);
    }
    return tasks[index]?.failureCount ?? 0;
  }
}
