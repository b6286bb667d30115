import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobDefinition } from '../../jobs/JobDefinition';
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

/** State of one step that the leader keeps in memory. */
interface StepState {
  readonly advice: StepAdvice;
  readonly speeds: StepSpeeds;
  readonly times: StepRunTimes;
  /** Endpoints on which runs of the step failed. */
  readonly failedOn: Set<EndpointIncarnation>;
  /** Undefined for no gang, and while no checkpoint is known. */
  gangCheckpoint: GangCheckpoint | undefined;
  /** Preemptions for the step since its last start, and the monotonic time from which the next is allowed. */
  preemptionAttempts: { readonly count: number; readonly retryAt: number };
  /** Undefined while no task is known to wait since the last placement. */
  wait: StepWait | undefined;
}

const NO_ATTEMPTS = { count: 0, retryAt: -Infinity };

/** Cached waiting steps, and the version of the progress and the time for which they are valid. */
interface CachedWaiting {
  readonly steps: readonly WaitingStep[];
  readonly version: number;
  /** Wall clock times between which no repetition falls due. */
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Backoff after the second rejected start of a task, doubled with each further one. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;

/** State that the leader keeps of a job that hasn't ended. */
export class LiveJob {
  /** Keyed by `TIME.STEP`. */
  private readonly stepStates = new Map<string, StepState>();
  /** Critical path from the start of each step to the end of the job. */
  private readonly criticalPathsMs: readonly number[];
  private readonly criticalPathMs: number;
  private cachedWaiting: CachedWaiting | undefined;
  private readonly preemptions = new Map<TaskName, number>();
  /** Consecutive rejected starts by task. */
  private readonly rejections = new Map<TaskName, number>();
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
    this.criticalPathsMs = computeCriticalPaths(definition.steps);
    this.criticalPathMs = Math.max(0, ...this.criticalPathsMs);
  }

  /** Returns the wall clock time at which repetition `time` may start. */
  getDueAtMs(time: number): number {
    return this.definition.firstRunMs + time * this.definition.intervalMs;
  }

  /** Returns the wall clock time by which repetition `time` should be complete. */
  getObjectiveAtMs(time: number): number {
    const { queue, acceptedAtMs } = this.definition;
    const startsAt = Math.max(acceptedAtMs, this.getDueAtMs(time));
    return startsAt + queue.targetLatencyMs + queue.stretch * this.criticalPathMs;
  }

  /** Returns the critical path from the start of a step to the end of the job, in milliseconds. */
  getCriticalPathMs(step: number): number {
    return this.criticalPathsMs[step] ?? 0;
  }

  /** Returns the critical path after a step, in milliseconds. */
  getCriticalPathAfterMs(step: number): number {
    const shape = this.definition.steps[step];
    const ownMs = shape === undefined ? 0 : computeTaskWorkMs(shape);
    return this.getCriticalPathMs(step) - ownMs;
  }

  /** Returns the steps with tasks that may start at a wall clock time. Cached until the progress changes or a repetition falls due. */
  getWaitingSteps(wallMs: number): readonly WaitingStep[] {
    const version = this.progress.getVersion();
    const cached = this.cachedWaiting;
    if (cached?.version === version && wallMs >= cached.fromMs && wallMs < cached.untilMs) {
      return cached.steps;
    }
    const steps = listWaitingSteps(this, wallMs);
    this.cachedWaiting = { steps, version, fromMs: wallMs, untilMs: this.getNextDueAtMs(wallMs) };
    return steps;
  }

  getAdvice(time: number, step: number): StepAdvice {
    return this.getStepState(time, step).advice;
  }

  getSpeeds(time: number, step: number): StepSpeeds {
    return this.getStepState(time, step).speeds;
  }

  getRunTimes(time: number, step: number): StepRunTimes {
    return this.getStepState(time, step).times;
  }

  /** Returns the wait of a step's tasks. Creates one that begins at `changedAt` when there is none. */
  getWait(time: number, step: number): StepWait {
    const state = this.getStepState(time, step);
    state.wait ??= new StepWait(this.changedAt);
    return state.wait;
  }

  /** Returns the open waits with the `TIME.STEP` of their steps. */
  listWaits(): readonly (readonly [string, StepWait])[] {
    return [...this.stepStates].flatMap(([name, { wait }]) => (wait === undefined ? [] : [[name, wait]]));
  }

  /** Records that tasks of a step have been placed. The wait of its remaining tasks begins anew. */
  recordPlacement(time: number, step: number, now: number, hasMore: boolean): void {
    this.getStepState(time, step).preemptionAttempts = NO_ATTEMPTS;
    this.getStepState(time, step).wait = hasMore ? new StepWait(now) : undefined;
  }

  /** Returns the newest checkpoint left by a member of a step's gang; undefined when none is known. */
  getGangCheckpoint(time: number, step: number): string | undefined {
    return this.getStepState(time, step).gangCheckpoint?.checkpoint;
  }

  /** Records the checkpoint left by an ended member of a gang, if it is newer than the known one. */
  recordGangCheckpoint(time: number, step: number, saved: GangCheckpoint): void {
    const state = this.getStepState(time, step);
    const known = state.gangCheckpoint;
    if (
      known === undefined ||
      saved.run > known.run ||
      (saved.run === known.run && saved.savedAt > known.savedAt)
    ) {
      state.gangCheckpoint = saved;
    }
  }

  /** Returns the monotonic time from which runs may be preempted for a step. */
  getPreemptionRetryAt(time: number, step: number): number {
    return this.getStepState(time, step).preemptionAttempts.retryAt;
  }

  /** Records a preemption for a step. The next one is delayed, exponentially while the step doesn't start. */
  recordPreemptionAttempt(time: number, step: number, now: number, retryMs: number): void {
    const state = this.getStepState(time, step);
    const { count } = state.preemptionAttempts;
    state.preemptionAttempts = { count: count + 1, retryAt: now + retryMs * 2 ** count };
  }

  /** Rules out preemption for a step until a monotonic time. */
  recordPreemptionBackoff(time: number, step: number, until: number): void {
    const state = this.getStepState(time, step);
    state.preemptionAttempts = { ...state.preemptionAttempts, retryAt: until };
  }

  hasFailureOn(time: number, step: number, endpoint: EndpointIncarnation): boolean {
    return this.getStepState(time, step).failedOn.has(endpoint);
  }

  recordFailureOn(time: number, step: number, endpoint: EndpointIncarnation): void {
    this.getStepState(time, step).failedOn.add(endpoint);
  }

  /** Returns how often the task was preempted. */
  countPreemptions(task: TaskName): number {
    return this.preemptions.get(task) ?? 0;
  }

  recordPreemption(task: TaskName): void {
    this.preemptions.set(task, this.countPreemptions(task) + 1);
  }

  /** Delays the next start of a task until a monotonic time. */
  recordBackoff(address: TaskAddress, until: number): void {
    const task = toTaskName(this.definition.id, address);
    this.retryAt.set(task, Math.max(until, this.retryAt.get(task) ?? until));
  }

  /** Records that an endpoint rejected a start of the task. The first retry is immediate, later ones back off exponentially. */
  recordStartRejected(address: TaskAddress, now: number): void {
    const task = toTaskName(this.definition.id, address);
    const count = (this.rejections.get(task) ?? 0) + 1;
    this.rejections.set(task, count);
    if (count > 1) {
      const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (count - 2));
      this.recordBackoff(address, now + backoffMs);
    }
  }

  /** Records that an endpoint accepted a start of the task. */
  recordStartAccepted(address: TaskAddress): void {
    if (this.rejections.size > 0) {
      this.rejections.delete(toTaskName(this.definition.id, address));
    }
  }

  /** Returns whether the next start of the task is delayed, after a crash or rejected starts. */
  isBackingOff(address: TaskAddress, now: number): boolean {
    return this.retryAt.size > 0 && now < (this.retryAt.get(toTaskName(this.definition.id, address)) ?? now);
  }

  private getStepState(time: number, step: number): StepState {
    const key = `${time}.${step}`;
    const known = this.stepStates.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = {
      advice: new StepAdvice(),
      speeds: new StepSpeeds(),
      times: new StepRunTimes(),
      failedOn: new Set<EndpointIncarnation>(),
      gangCheckpoint: undefined,
      preemptionAttempts: NO_ATTEMPTS,
      wait: undefined,
    };
    this.stepStates.set(key, created);
    return created;
  }

  private getNextDueAtMs(wallMs: number): number {
    for (let time = 0; time < this.definition.times; time += 1) {
      const dueAtMs = this.getDueAtMs(time);
      if (dueAtMs > wallMs) {
        return dueAtMs;
      }
    }
    return Infinity;
  }

  /** Returns the number of failed runs that count against the attempts of a task, or of its gang. */
  countFailures(time: number, step: number, index: number): number {
    const tasks = this.progress.listTasks(time, step);
    if (this.definition.steps[step]?.isGang === true) {
      return tasks.reduce((sum, task) => sum + task.failureCount, 0);
    }
    return tasks[index]?.failureCount ?? 0;
  }
}
