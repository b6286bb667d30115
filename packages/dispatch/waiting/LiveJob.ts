import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobDefinition } from '../../jobs/JobDefinition';
import type { JobProgress } from '../../jobs/JobProgress';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskName } from '../../jobs/TaskName';
import { computeCriticalPaths } from '../../jobs/computeCriticalPaths';
import { computeStepWork } from '../../jobs/computeStepWork';
import { toTaskName } from '../../jobs/toTaskName';
import { JobTrace } from '../../logging/JobTrace';
import { StepAdvice } from '../advice/StepAdvice';
import { StepRunTimes } from '../speeds/StepRunTimes';
import type { GangCheckpoint } from '../stops/GangCheckpoint';
import { StepSpeeds } from './StepSpeeds';
import { StepWait } from './StepWait';
import { listWaitingSteps } from './listWaitingSteps';
import type { WaitingStep } from './WaitingStep';

/** State of one step that the leader keeps in memory. */
interface StepState {
  readonly advice: StepAdvice;
  readonly speeds: StepSpeeds;
  readonly runTimes: StepRunTimes;
  /** Endpoints on which runs of the step failed. */
  readonly failedOnEndpoints: Set<EndpointIncarnation>;
  /** Undefined for no gang, and while no checkpoint is known. */
  gangCheckpoint: GangCheckpoint | undefined;
  /** Preemptions for the step since its last start, and the monotonic time from which the next is allowed. */
  preemptionAttempts: { readonly count: number; readonly retryAt: number };
  /** Undefined while no task is known to wait since the last placement. */
  wait: StepWait | undefined;
}

const NO_PREEMPTION_ATTEMPTS = { count: 0, retryAt: -Infinity };

/** Cached waiting steps, and the version of the progress and the time for which they are valid. */
interface CachedWaitingSteps {
  readonly steps: readonly WaitingStep[];
  readonly progressVersion: number;
  /** Wall clock times between which no repetition falls due. */
  readonly validFromMs: number;
  readonly validUntilMs: number;
}

/** Backoff after the second rejected start of a task, doubled with each further one. */
const INITIAL_REJECTION_BACKOFF_MS = 100;
const MAX_REJECTION_BACKOFF_MS = 2000;

/** State that the leader keeps of a job that hasn't ended. */
export class LiveJob {
  /** Keyed by `REPETITION.STEP`. */
  private readonly stepStates = new Map<string, StepState>();
  /** Critical path from the start of each step to the end of the job. */
  private readonly stepCriticalPathsMs: readonly number[];
  private readonly jobCriticalPathMs: number;
  private cachedWaitingSteps: CachedWaitingSteps | undefined;
  private readonly preemptionCounts = new Map<TaskName, number>();
  /** Consecutive rejected starts by task. */
  private readonly startRejectionCounts = new Map<TaskName, number>();
  /** Monotonic times before which tasks aren't started. */
  private readonly retryAt = new Map<TaskName, number>();
  isCancelled = false;
  /** Breakdown of its time, logged if it ends late. */
  readonly trace: JobTrace;

  constructor(
    readonly definition: JobDefinition,
    readonly progress: JobProgress,
    /** Monotonic time of the last event that may let a task start: the job's acceptance by this leader, or the end of a run. */
    public changedAt: number,
    /** The customer was over its share when the job was accepted. */
    readonly isOverShare = false,
  ) {
    this.trace = new JobTrace(changedAt);
    this.stepCriticalPathsMs = computeCriticalPaths(definition.steps);
    this.jobCriticalPathMs = Math.max(0, ...this.stepCriticalPathsMs);
  }

  /** Returns the wall clock time at which a repetition may start. */
  getDueAtMs(repetition: number): number {
    return this.definition.firstRunMs + repetition * this.definition.intervalMs;
  }

  /** Returns the wall clock time by which a repetition should be complete. */
  getObjectiveAtMs(repetition: number): number {
    const { queue, acceptedAtMs } = this.definition;
    const startsAt = Math.max(acceptedAtMs, this.getDueAtMs(repetition));
    return startsAt + queue.targetLatencyMs + queue.stretch * this.jobCriticalPathMs;
  }

  /** Returns the critical path from the start of a step to the end of the job, in milliseconds. */
  getCriticalPathMs(step: number): number {
    return this.stepCriticalPathsMs[step] ?? 0;
  }

  /** Returns the critical path after a step, in milliseconds. */
  getCriticalPathAfterMs(step: number): number {
    const shape = this.definition.steps[step];
    const ownMs = shape === undefined ? 0 : computeStepWork(shape);
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

  getAdvice(repetition: number, step: number): StepAdvice {
    return this.getStepState(repetition, step).advice;
  }

  getSpeeds(repetition: number, step: number): StepSpeeds {
    return this.getStepState(repetition, step).speeds;
  }

  getRunTimes(repetition: number, step: number): StepRunTimes {
    return this.getStepState(repetition, step).runTimes;
  }

  /** Returns the wait of a step's tasks. Creates one that begins at `changedAt` when there is none. */
  getStepWait(repetition: number, step: number): StepWait {
    const state = this.getStepState(repetition, step);
    state.wait ??= new StepWait(this.changedAt);
    return state.wait;
  }

  /** Returns the open waits with the `REPETITION.STEP` of their steps. */
  listStepWaits(): readonly (readonly [string, StepWait])[] {
    return [...this.stepStates].flatMap(([name, { wait }]) => (wait === undefined ? [] : [[name, wait]]));
  }

  /** Records that tasks of a step have been placed. The wait of its remaining tasks begins anew. */
  recordPlacement(repetition: number, step: number, now: number, hasMore: boolean): void {
    this.getStepState(repetition, step).preemptionAttempts = NO_PREEMPTION_ATTEMPTS;
    this.getStepState(repetition, step).wait = hasMore ? new StepWait(now) : undefined;
  }

  /** Returns the newest checkpoint left by a member of a step's gang; undefined when none is known. */
  getGangCheckpoint(repetition: number, step: number): string | undefined {
    return this.getStepState(repetition, step).gangCheckpoint?.checkpoint;
  }

  /** Records the checkpoint left by an ended member of a gang, if it is newer than the known one. */
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

  /** Returns the monotonic time from which runs may be preempted for a step. */
  getPreemptionRetryAt(repetition: number, step: number): number {
    return this.getStepState(repetition, step).preemptionAttempts.retryAt;
  }

  /** Records a preemption for a step. The next one is delayed, exponentially while the step doesn't start. */
  recordPreemptionAttempt(repetition: number, step: number, now: number, retryMs: number): void {
    const state = this.getStepState(repetition, step);
    const { count } = state.preemptionAttempts;
    state.preemptionAttempts = { count: count + 1, retryAt: now + retryMs * 2 ** count };
  }

  /** Rules out preemption for a step until a monotonic time. */
  recordPreemptionBackoff(repetition: number, step: number, until: number): void {
    const state = this.getStepState(repetition, step);
    state.preemptionAttempts = { ...state.preemptionAttempts, retryAt: until };
  }

  hasFailureOn(repetition: number, step: number, endpoint: EndpointIncarnation): boolean {
    return this.getStepState(repetition, step).failedOnEndpoints.has(endpoint);
  }

  recordFailureOn(repetition: number, step: number, endpoint: EndpointIncarnation): void {
    this.getStepState(repetition, step).failedOnEndpoints.add(endpoint);
  }

  /** Returns how often the task was preempted. */
  countPreemptions(task: TaskName): number {
    return this.preemptionCounts.get(task) ?? 0;
  }

  recordPreemption(task: TaskName): void {
    this.preemptionCounts.set(task, this.countPreemptions(task) + 1);
  }

  /** Delays the next start of a task until a monotonic time. */
  recordBackoff(address: TaskAddress, until: number): void {
    const task = toTaskName(this.definition.id, address);
    this.retryAt.set(task, Math.max(until, this.retryAt.get(task) ?? until));
  }

  /** Records that an endpoint rejected a start of the task. The first retry is immediate, later ones back off exponentially. */
  recordStartRejected(address: TaskAddress, now: number): void {
    const task = toTaskName(this.definition.id, address);
    const count = (this.startRejectionCounts.get(task) ?? 0) + 1;
    this.startRejectionCounts.set(task, count);
    if (count > 1) {
      const backoffMs = Math.min(MAX_REJECTION_BACKOFF_MS, INITIAL_REJECTION_BACKOFF_MS * 2 ** (count - 2));
      this.recordBackoff(address, now + backoffMs);
    }
  }

  /** Records that an endpoint accepted a start of the task. */
  recordStartAccepted(address: TaskAddress): void {
    if (this.startRejectionCounts.size > 0) {
      this.startRejectionCounts.delete(toTaskName(this.definition.id, address));
    }
  }

  /** Returns whether the next start of the task is delayed, after a crash or rejected starts. */
  isBackingOff(address: TaskAddress, now: number): boolean {
    return this.retryAt.size > 0 && now < (this.retryAt.get(toTaskName(this.definition.id, address)) ?? now);
  }

  private getStepState(repetition: number, step: number): StepState {
    const key = `${repetition}.${step}`;
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

  private getNextDueAtMs(wallMs: number): number {
    for (let repetition = 0; repetition < this.definition.times; repetition += 1) {
      const dueAtMs = this.getDueAtMs(repetition);
      if (dueAtMs > wallMs) {
        return dueAtMs;
      }
    }
    return Infinity;
  }

  /** Returns the number of failed runs that count against the attempts of a task, or of its gang. */
  countFailures(repetition: number, step: number, index: number): number {
    const tasks = this.progress.listTasks(repetition, step);
    if (this.definition.steps[step]?.isGang === true) {
      return tasks.reduce((sum, task) => sum + task.failures, 0);
    }
    return tasks[index]?.failures ?? 0;
  }
}
