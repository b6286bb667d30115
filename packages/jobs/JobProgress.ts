import { toId } from '../common/toId';
import type { EndpointIncarnation } from './EndpointIncarnation';
import type { JobDefinition } from './JobDefinition';
import type { JobState } from './JobState';
import type { RunOutcome } from './RunOutcome';
import type { TaskAddress } from './TaskAddress';
import type { TaskCrash } from './TaskCrash';
import { ProgressParts } from './ProgressParts';
import { TaskNumbering } from './TaskNumbering';
import type { TaskProgress } from './TaskProgress';

const NO_ENDPOINT = toId<EndpointIncarnation>('');
const INITIAL_PROGRESS: TaskProgress = {
  phase: 'waiting',
  runNumber: 0,
  failureCount: 0,
  endpoint: NO_ENDPOINT,
  checkpoint: '',
  crashes: [],
  unconfirmedCrashes: [],
};

/** Number of tasks from which the waiting ones of a step are counted with each change. */
const MIN_LARGE_STEP = 1024;

interface LargeStepWaiting {
  count: number;
  /** Index below which no task waits. */
  firstIndex: number;
}

/**
 * Progress of one job: a table of tasks by [repetition][step][index], and the outcome of the job.
 * Pure state without clock or I/O. Placements, transfers and ends name their run and are ignored for older runs, so that it is safe to
 * apply one twice or late.
 */
export class JobProgress {
  private readonly tasks: TaskProgress[][][] = [];
  /** Number of tasks that are not done, by [repetition][step]. */
  private readonly openTaskCounts: number[][] = [];
  private openTaskTotal = 0;
  /** True once a run of any task is known to have begun on its endpoint; its placement does not suffice, since the start may fail. */
  private hasBegun = false;
  /** Wall clock of the job's end in Unix milliseconds; 0 until then. */
  private endedAtMs = 0;
  /** Outcome of the job; undefined while it has not ended. */
  private finalState: 'completed' | 'failed' | 'cancelled' | undefined;
  /** Newest run of each gang in which a member failed, by `REPETITION.STEP`. */
  private readonly failedGangRuns = new Map<string, number>();
  /** Waiting tasks of each step that is too large to be searched for them, by `REPETITION.STEP`. */
  private readonly waitingTasks = new Map<string, LargeStepWaiting>();
  /** Index of the first repetition that may have open tasks. */
  private firstOpenRepetition = 0;
  private readonly numbering: TaskNumbering;
  private readonly parts: ProgressParts;
  /** Number that increases with each change of a task. */
  private version = 0;

  constructor(private readonly definition: JobDefinition) {
    this.numbering = new TaskNumbering(definition);
    this.parts = new ProgressParts(this.numbering);
    for (let repetition = 0; repetition < definition.times; repetition += 1) {
      this.tasks.push(definition.steps.map((step) => Array<TaskProgress>(step.count).fill(INITIAL_PROGRESS)));
      this.openTaskCounts.push(definition.steps.map((step) => step.count));
    }
    this.openTaskTotal = definition.times * definition.steps.reduce((sum, step) => sum + step.count, 0);
  }

  getTask(address: TaskAddress): TaskProgress | undefined {
    return this.tasks[address.repetition]?.[address.step]?.[address.index];
  }

  listTasks(repetition: number, step: number): readonly TaskProgress[] {
    return this.tasks[repetition]?.[step] ?? [];
  }

  getNumbering(): TaskNumbering {
    return this.numbering;
  }

  /** Returns which parts are to be written, if the progress is recorded in parts. */
  getParts(): ProgressParts {
    return this.parts;
  }

  /** Returns a number that increases with each change of any task of the job. */
  getVersion(): number {
    return this.version;
  }

  getState(): JobState {
    return this.finalState ?? (this.hasBegun ? 'running' : 'queued');
  }

  getEndedAtMs(): number {
    return this.endedAtMs;
  }

  isEnded(): boolean {
    return this.finalState !== undefined;
  }

  isStepDone(repetition: number, step: number): boolean {
    return this.openTaskCounts[repetition]?.[step] === 0;
  }

  /** Returns the index of the first repetition with open tasks; the number of repetitions when there is none. */
  getFirstOpenRepetition(): number {
    const isDone = (counts: readonly number[] | undefined): boolean =>
      counts?.every((count) => count === 0) === true;
    while (isDone(this.openTaskCounts[this.firstOpenRepetition])) {
      this.firstOpenRepetition += 1;
    }
    return this.firstOpenRepetition;
  }

  /** Returns how many tasks of a step wait. */
  countWaitingTasks(repetition: number, step: number): number {
    return (
      this.getLargeStep(repetition, step)?.count ??
      this.listTasks(repetition, step).reduce((sum, { phase }) => sum + (phase === 'waiting' ? 1 : 0), 0)
    );
  }

  /** Returns the indexes of the first `maxCount` waiting tasks of a step. */
  listWaitingIndexes(repetition: number, step: number, maxCount: number): readonly number[] {
    const tasks = this.listTasks(repetition, step);
    const largeStep = this.getLargeStep(repetition, step);
    const indexes: number[] = [];
    for (
      let index = largeStep?.firstIndex ?? 0;
      index < tasks.length && indexes.length < maxCount;
      index += 1
    ) {
      if (tasks[index]!.phase === 'waiting') {
        indexes.push(index);
      }
    }
    if (largeStep !== undefined) {
      largeStep.firstIndex = indexes[0] ?? tasks.length;
    }
    return indexes;
  }

  /** Returns what is kept of the waiting tasks of a large step; undefined for one that is not large. */
  private getLargeStep(repetition: number, step: number): LargeStepWaiting | undefined {
    const count = this.definition.steps[step]?.count ?? 0;
    if (count < MIN_LARGE_STEP) {
      return undefined;
    }
    const key = `${repetition}.${step}`;
    const known = this.waitingTasks.get(key) ?? { count, firstIndex: 0 };
    this.waitingTasks.set(key, known);
    return known;
  }

  /** Returns how many tasks of a step are not done. */
  countOpenTasks(repetition: number, step: number): number {
    return this.openTaskCounts[repetition]?.[step] ?? 0;
  }

  /** Returns true when all steps that this one depends on are done. */
  isStepReady(repetition: number, step: number): boolean {
    return this.definition.steps[step]?.dependsOn.every((one) => this.isStepDone(repetition, one)) ?? false;
  }

  isAllDone(): boolean {
    return this.openTaskTotal === 0;
  }

  /**
   * Records that a run was placed on an endpoint, so that the task is `placed`. Ignored when the task is done or has had that run or a
   * later one.
   */
  recordRunPlaced(address: TaskAddress, runNumber: number, endpoint: EndpointIncarnation): void {
    const task = this.getTask(address);
    if (task === undefined || task.phase === 'done' || runNumber <= task.runNumber) {
      return;
    }
    this.setTask(address, { ...task, phase: 'placed', runNumber, endpoint });
  }

  /** Records that a run of any task has begun on its endpoint. Returns false when that was known already. */
  recordBegin(): boolean {
    const isNew = !this.hasBegun;
    this.hasBegun = true;
    return isNew;
  }

  /**
   * Sets the endpoint of the newest run, which may have started on another incarnation than the one it was placed on. Ignored for an older
   * run and after its end.
   */
  recordRunTransfer(address: TaskAddress, runNumber: number, endpoint: EndpointIncarnation): void {
    const task = this.getTask(address);
    if (task?.phase === 'placed' && task.runNumber === runNumber) {
      this.setTask(address, { ...task, endpoint });
    }
  }

  /**
   * Records how the newest run ended: the task is done, or waits again with the checkpoint if one is given. A failed run is counted, that of
   * a gang once however many members fail in it.
   * Returns false, without a change, for another run than the newest and for one that has already ended.
   */
  recordRunEnd(address: TaskAddress, runNumber: number, outcome: RunOutcome, checkpoint: string): boolean {
    const task = this.getTask(address);
    if (task === undefined || task.phase !== 'placed' || task.runNumber !== runNumber) {
      return false;
    }
    const kept = checkpoint === '' ? task.checkpoint : checkpoint;
    this.hasBegun ||= outcome !== 'interrupted' || kept !== '';
    if (outcome === 'done') {
      this.setTaskDone(address, task);
      return true;
    }
    const isCounted = outcome === 'failed' && this.recordFailure(address, runNumber);
    const failureCount = task.failureCount + (isCounted ? 1 : 0);
    this.setTask(address, { ...task, phase: 'waiting', failureCount, checkpoint: kept });
    return true;
  }

  /** Records, as read from the log, that a member of a gang has failed in a run. */
  recordFailedGangRun(repetition: number, step: number, runNumber: number): void {
    this.failedGangRuns.set(`${repetition}.${step}`, runNumber);
  }

  /** Returns the run of a gang in which a member has failed while others have not ended, so that their failures aren't counted; else undefined. */
  getFailedGangRun(repetition: number, step: number): number | undefined {
    const failedRun = this.failedGangRuns.get(`${repetition}.${step}`);
    const hasOpenMember =
      failedRun !== undefined &&
      this.listTasks(repetition, step).some(
        ({ phase, runNumber }) => phase === 'placed' && runNumber === failedRun,
      );
    return hasOpenMember ? failedRun : undefined;
  }

  /** Records that all tasks of a gang are done, including tasks whose own end was not reported. */
  recordGangDone(repetition: number, step: number): void {
    for (const [index, task] of this.listTasks(repetition, step).entries()) {
      if (task.phase !== 'done') {
        this.setTaskDone({ repetition, step, index }, task);
      }
    }
  }

  /** Sets the checkpoint of a task. Ignored for an empty one and when the task is done. */
  recordCheckpoint(address: TaskAddress, checkpoint: string): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done' && checkpoint !== '') {
      this.hasBegun = true;
      this.setTask(address, { ...task, checkpoint });
    }
  }

  /** Sets the number of failed runs of a task, as read from the log. */
  setFailureCount(address: TaskAddress, failureCount: number): void {
    const task = this.getTask(address);
    if (task !== undefined) {
      this.hasBegun ||= failureCount > 0;
      this.setTask(address, { ...task, failureCount });
    }
  }

  /**
   * Records the confirmed crash of an endpoint under a task, in place of an earlier crash of that endpoint, confirmed or not. Ignored when
   * the task is done.
   */
  recordCrash(address: TaskAddress, crash: TaskCrash): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done') {
      const isOther = ({ endpoint }: TaskCrash): boolean => endpoint !== crash.endpoint;
      const crashes = [...task.crashes.filter(isOther), crash];
      this.setTask(address, {
        ...task,
        crashes,
        unconfirmedCrashes: task.unconfirmedCrashes.filter(isOther),
      });
    }
  }

  /**
   * Records the unconfirmed crash of an endpoint under a task, in place of an earlier unconfirmed one of that endpoint. Keeps the newest `maxCount`.
   * Ignored when the task is done.
   */
  recordUnconfirmedCrash(address: TaskAddress, crash: TaskCrash, maxCount = Infinity): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done') {
      const others = task.unconfirmedCrashes.filter(({ endpoint }) => endpoint !== crash.endpoint);
      this.setTask(address, { ...task, unconfirmedCrashes: [...others, crash].slice(-maxCount) });
    }
  }

  /** Removes the crashes of a task, confirmed or not, that match a predicate. Returns false when none did. */
  removeCrashes(address: TaskAddress, isRemoved: (crash: TaskCrash) => boolean): boolean {
    const task = this.getTask(address);
    if (task === undefined || ![...task.crashes, ...task.unconfirmedCrashes].some(isRemoved)) {
      return false;
    }
    const isKept = (crash: TaskCrash): boolean => !isRemoved(crash);
    this.setTask(address, {
      ...task,
      crashes: task.crashes.filter(isKept),
      unconfirmedCrashes: task.unconfirmedCrashes.filter(isKept),
    });
    return true;
  }

  /** Records the outcome of the job and the wall clock of its end, in Unix milliseconds. Ignored when the job has an outcome already. */
  recordJobEnd(ending: 'completed' | 'failed' | 'cancelled', atMs: number): void {
    if (this.finalState === undefined) {
      this.finalState = ending;
      this.endedAtMs = atMs;
    }
  }

  /** Records a failed run. Returns false for the run of a gang in which another member has failed already. */
  private recordFailure({ repetition, step }: TaskAddress, runNumber: number): boolean {
    if (this.definition.steps[step]?.isGang !== true) {
      return true;
    }
    if (this.failedGangRuns.get(`${repetition}.${step}`) === runNumber) {
      return false;
    }
    this.recordFailedGangRun(repetition, step, runNumber);
    return true;
  }

  private setTaskDone(address: TaskAddress, task: TaskProgress): void {
    this.setTask(address, { ...task, phase: 'done', checkpoint: '', crashes: [], unconfirmedCrashes: [] });
    const steps = this.openTaskCounts[address.repetition]!;
    steps[address.step] = steps[address.step]! - 1;
    this.openTaskTotal -= 1;
  }

  private setTask(address: TaskAddress, task: TaskProgress): void {
    const tasks = this.tasks[address.repetition]![address.step]!;
    this.updateLargeStep(address, tasks[address.index]!, task);
    this.parts.recordChange(address);
    this.version += 1;
    tasks[address.index] = task;
  }

  private updateLargeStep(
    { repetition, step, index }: TaskAddress,
    before: TaskProgress,
    after: TaskProgress,
  ): void {
    const largeStep = before.phase === after.phase ? undefined : this.getLargeStep(repetition, step);
    if (largeStep === undefined) {
      return;
    }
    if (before.phase === 'waiting') {
      largeStep.count -= 1;
    }
    if (after.phase === 'waiting') {
      largeStep.count += 1;
      largeStep.firstIndex = Math.min(largeStep.firstIndex, index);
    }
  }
}
