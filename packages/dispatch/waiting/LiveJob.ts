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
import { readWaitingSteps } from './readWaitingSteps';
import type { WaitingStep } from './WaitingStep';

/** What the leader has learnt of one step. */
interface StepMemory {
  readonly advice: StepAdvice;
  readonly speeds: StepSpeeds;
  readonly times: StepRunTimes;
  /** Endpoints on which runs of the step failed. */
  readonly failedOn: Set<EndpointIncarnation>;
  /** What its gang goes on from; undefined while nothing is known, or it is no gang. */
  gangSave: GangCheckpoint | undefined;
  /** Room was made for the step so often without a start since, and may be made again at that monotonic time. */
  roomMade: { readonly count: number; readonly retryAt: number };
  /** Undefined while no task of the step was seen waiting since the last was placed. */
  wait: StepWait | undefined;
}

const NO_ROOM_MADE = { count: 0, retryAt: -Infinity };

/** What waits, and for how long that holds. */
interface KnownWaiting {
  readonly steps: readonly WaitingStep[];
  readonly version: number;
  /** Wall clock times between which no repetition falls due. */
  readonly fromMs: number;
  readonly untilMs: number;
}

/**
 * Pause after the second start of a task that was not taken, doubled with each one more: a task that no
 * endpoint takes would else be sent in every round. A job that has nothing running for 3 s counts as lost, hence the longest.
 */
const TURNED_DOWN_PAUSE_MS = 100;
const MAX_TURNED_DOWN_PAUSE_MS = 2000;

/** A job that has not ended, as the leader works on it. */
export class LiveJob {
  /** By `TIME.STEP`. */
  private readonly stepMemories = new Map<string, StepMemory>();
  /** Longest chain of estimated work from each step's start to the end. */
  private readonly remainingMs: readonly number[];
  private readonly chainMs: number;
  private waiting: KnownWaiting | undefined;
  private readonly preemptions = new Map<TaskName, number>();
  /** Starts of tasks that endpoints did not take, since one was taken. */
  private readonly turnDowns = new Map<TaskName, number>();
  /** Monotonic times before which tasks are not started. */
  private readonly pauses = new Map<TaskName, number>();
  isCancelled = false;
  /** Where its time went, for the line about it if it ends late. */
  readonly trace: JobTrace;

  constructor(
    readonly definition: JobDefinition,
    readonly progress: JobProgress,
    /** Monotonic time at which a task may last have become able to start: the job was taken in, or a run ended. */
    public changedAt: number,
    /** The customer had sent more than it is owed when it sent this job. */
    readonly isOverShare = false,
  ) {
    this.trace = new JobTrace(changedAt);
    this.remainingMs = computeCriticalPaths(definition.steps);
    this.chainMs = Math.max(0, ...this.remainingMs);
  }

  /** Wall clock time at which repetition `time` may start. */
  getDueAtMs(time: number): number {
    return this.definition.firstRunMs + time * this.definition.intervalMs;
  }

  /** Wall clock time by which repetition `time` should be complete. */
  getObjectiveAtMs(time: number): number {
    const { queue, acceptedAtMs } = this.definition;
    const startsAt = Math.max(acceptedAtMs, this.getDueAtMs(time));
    return startsAt + queue.targetLatencyMs + queue.stretch * this.chainMs;
  }

  /** Longest chain of estimated work from the start of a step to the job's end, in milliseconds. */
  getCriticalPathMs(step: number): number {
    return this.remainingMs[step] ?? 0;
  }

  /** Longest chain of estimated work after a step, in milliseconds. */
  getCriticalPathAfterMs(step: number): number {
    const shape = this.definition.steps[step];
    const ownMs = shape === undefined ? 0 : computeStepWork(shape);
    return this.getCriticalPathMs(step) - ownMs;
  }

  /** Steps with tasks to start at a wall clock time. Worked out anew only when something has changed. */
  getWaitingSteps(wallMs: number): readonly WaitingStep[] {
    const version = this.progress.getVersion();
    const known = this.waiting;
    if (known?.version === version && wallMs >= known.fromMs && wallMs < known.untilMs) {
      return known.steps;
    }
    const steps = readWaitingSteps(this, wallMs);
    this.waiting = { steps, version, fromMs: wallMs, untilMs: this.readNextDueAtMs(wallMs) };
    return steps;
  }

  getAdvice(time: number, step: number): StepAdvice {
    return this.readStepMemory(time, step).advice;
  }

  getSpeeds(time: number, step: number): StepSpeeds {
    return this.readStepMemory(time, step).speeds;
  }

  getTimes(time: number, step: number): StepRunTimes {
    return this.readStepMemory(time, step).times;
  }

  /** The wait of a step's tasks, from the job's newest change on if there is none yet. */
  readWait(time: number, step: number): StepWait {
    const memory = this.readStepMemory(time, step);
    memory.wait ??= new StepWait(this.changedAt);
    return memory.wait;
  }

  /** The waits that go on, by the step's `TIME.STEP`. */
  readWaits(): readonly (readonly [string, StepWait])[] {
    return [...this.stepMemories].flatMap(([name, { wait }]) => (wait === undefined ? [] : [[name, wait]]));
  }

  /** Tasks of the step have been placed: what waits from now on waits anew. */
  recordPlaced(time: number, step: number, now: number, hasMore: boolean): void {
    this.readStepMemory(time, step).roomMade = NO_ROOM_MADE;
    this.readStepMemory(time, step).wait = hasMore ? new StepWait(now) : undefined;
  }

  /** The newest checkpoint that members of a step's gang have left; undefined when none is known. */
  getGangCheckpoint(time: number, step: number): string | undefined {
    return this.readStepMemory(time, step).gangSave?.checkpoint;
  }

  /** A member of a gang has ended and left a checkpoint. */
  recordGangCheckpoint(time: number, step: number, save: GangCheckpoint): void {
    const memory = this.readStepMemory(time, step);
    const known = memory.gangSave;
    if (
      known === undefined ||
      save.run > known.run ||
      (save.run === known.run && save.savedAt > known.savedAt)
    ) {
      memory.gangSave = save;
    }
  }

  /** Monotonic time from which room may be made for a step by stops. */
  readRoomRetryAt(time: number, step: number): number {
    return this.readStepMemory(time, step).roomMade.retryAt;
  }

  /** Others are stopped to make room for a step; if it does not start, the next time is later, and ever more so. */
  recordRoomMade(time: number, step: number, now: number, retryMs: number): void {
    const memory = this.readStepMemory(time, step);
    const { count } = memory.roomMade;
    memory.roomMade = { count: count + 1, retryAt: now + retryMs * 2 ** count };
  }

  /** No room is made for a step by stops before a monotonic time. */
  recordRoomPause(time: number, step: number, until: number): void {
    const memory = this.readStepMemory(time, step);
    memory.roomMade = { ...memory.roomMade, retryAt: until };
  }

  hasFailedOn(time: number, step: number, endpoint: EndpointIncarnation): boolean {
    return this.readStepMemory(time, step).failedOn.has(endpoint);
  }

  recordFailureOn(time: number, step: number, endpoint: EndpointIncarnation): void {
    this.readStepMemory(time, step).failedOn.add(endpoint);
  }

  /** How often the task was stopped for more urgent work. */
  readPreemptions(task: TaskName): number {
    return this.preemptions.get(task) ?? 0;
  }

  recordPreempted(task: TaskName): void {
    this.preemptions.set(task, this.readPreemptions(task) + 1);
  }

  /** A task is not started before a monotonic time. */
  recordBackoff(address: TaskAddress, until: number): void {
    const task = toTaskName(this.definition.id, address);
    this.pauses.set(task, Math.max(until, this.pauses.get(task) ?? until));
  }

  /** An endpoint did not take a start of the task: the next one follows at once, later ones ever more rarely. */
  recordStartRejected(address: TaskAddress, now: number): void {
    const task = toTaskName(this.definition.id, address);
    const count = (this.turnDowns.get(task) ?? 0) + 1;
    this.turnDowns.set(task, count);
    if (count > 1) {
      const pauseMs = Math.min(MAX_TURNED_DOWN_PAUSE_MS, TURNED_DOWN_PAUSE_MS * 2 ** (count - 2));
      this.recordBackoff(address, now + pauseMs);
    }
  }

  /** An endpoint took a start of the task. */
  recordStartAccepted(address: TaskAddress): void {
    if (this.turnDowns.size > 0) {
      this.turnDowns.delete(toTaskName(this.definition.id, address));
    }
  }

  /** True while the task waits after it ended an endpoint, or was turned down by several. */
  isPaused(address: TaskAddress, now: number): boolean {
    return this.pauses.size > 0 && now < (this.pauses.get(toTaskName(this.definition.id, address)) ?? now);
  }

  private readStepMemory(time: number, step: number): StepMemory {
    const key = `${time}.${step}`;
    const known = this.stepMemories.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = {
      advice: new StepAdvice(),
      speeds: new StepSpeeds(),
      times: new StepRunTimes(),
      failedOn: new Set<EndpointIncarnation>(),
      gangSave: undefined,
      roomMade: NO_ROOM_MADE,
      wait: undefined,
    };
    this.stepMemories.set(key, created);
    return created;
  }

  private readNextDueAtMs(wallMs: number): number {
    for (let time = 0; time < this.definition.times; time += 1) {
      const dueAtMs = this.getDueAtMs(time);
      if (dueAtMs > wallMs) {
        return dueAtMs;
      }
    }
    return Infinity;
  }

  /** Failed runs that count against the attempts of a task, or of its gang. */
  countFailures(time: number, step: number, index: number): number {
    const tasks = this.progress.listTasks(time, step);
    if (this.definition.steps[step]?.isGang === true) {
      return tasks.reduce((sum, task) => sum + task.failures, 0);
    }
    return tasks[index]?.failures ?? 0;
  }
}
