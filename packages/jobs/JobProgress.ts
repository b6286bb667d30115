import { toId } from '../common/toId';
import type { EndpointIncarnation } from './EndpointIncarnation';
import type { JobDefinition } from './JobDefinition';
import type { JobState } from './JobState';
import type { RunOutcome } from './RunOutcome';
import type { TaskAddress } from './TaskAddress';
import type { TaskCrash } from './TaskCrash';
import type { TaskProgress } from './TaskProgress';

const NO_ENDPOINT = toId<EndpointIncarnation>('');
const INITIAL_PROGRESS: TaskProgress = {
  phase: 'waiting',
  run: 0,
  failures: 0,
  endpoint: NO_ENDPOINT,
  checkpoint: '',
  crashes: [],
  unconfirmedCrashes: [],
};

/**
 * Progress of one job: a table of tasks by [time][step][index], and the outcome of the job.
 * Pure state without clock or I/O. Updates name the run that they concern and are ignored for older runs, so that it is safe to
 * apply one twice or late.
 */
export class JobProgress {
  private readonly tasks: TaskProgress[][][] = [];
  /** Number of tasks that are not done, by [time][step]. */
  private readonly openCounts: number[][] = [];
  private openTotal = 0;
  private hasStarted = false;
  /** Wall clock of the job's end in Unix milliseconds; 0 until then. */
  private endedAtMs = 0;
  private ending: 'completed' | 'failed' | 'cancelled' | undefined;
  /** Increases with each change of a task. */
  private version = 0;

  constructor(private readonly definition: JobDefinition) {
    for (let time = 0; time < definition.times; time += 1) {
      this.tasks.push(definition.steps.map((step) => Array<TaskProgress>(step.count).fill(INITIAL_PROGRESS)));
      this.openCounts.push(definition.steps.map((step) => step.count));
    }
    this.openTotal = definition.times * definition.steps.reduce((sum, step) => sum + step.count, 0);
  }

  getTask(address: TaskAddress): TaskProgress | undefined {
    return this.tasks[address.repetition]?.[address.step]?.[address.index];
  }

  listTasks(time: number, step: number): readonly TaskProgress[] {
    return this.tasks[time]?.[step] ?? [];
  }

  /** Returns a number that increases with each change of a task. */
  getVersion(): number {
    return this.version;
  }

  getState(): JobState {
    return this.ending ?? (this.hasStarted ? 'running' : 'queued');
  }

  getEndedAtMs(): number {
    return this.endedAtMs;
  }

  isEnded(): boolean {
    return this.ending !== undefined;
  }

  isStepDone(time: number, step: number): boolean {
    return this.openCounts[time]?.[step] === 0;
  }

  /** Returns how many tasks of a step are not done. */
  countOpenTasks(time: number, step: number): number {
    return this.openCounts[time]?.[step] ?? 0;
  }

  /** Returns true when all steps that this one depends on are done. */
  isStepReady(time: number, step: number): boolean {
    return this.definition.steps[step]?.dependsOn.every((earlier) => this.isStepDone(time, earlier)) ?? false;
  }

  isAllDone(): boolean {
    return this.openTotal === 0;
  }

  /** Records that a run was placed. */
  recordPlaced(address: TaskAddress, run: number, endpoint: EndpointIncarnation): void {
    const task = this.getTask(address);
    if (task === undefined || task.phase === 'done' || run <= task.run) {
      return;
    }
    this.hasStarted = true;
    this.setTask(address, { ...task, phase: 'placed', run, endpoint });
  }

  /** Records that the newest run may have started on another incarnation than the one it was placed on. Ignored after its end. */
  recordTransfer(address: TaskAddress, run: number, endpoint: EndpointIncarnation): void {
    const task = this.getTask(address);
    if (task?.phase === 'placed' && task.run === run) {
      this.setTask(address, { ...task, endpoint });
    }
  }

  /** Records how the newest run ended. Returns false for an older run and for one that has already ended. */
  recordEnd(address: TaskAddress, run: number, outcome: RunOutcome, checkpoint: string): boolean {
    const task = this.getTask(address);
    if (task === undefined || task.phase !== 'placed' || task.run !== run) {
      return false;
    }
    const kept = checkpoint === '' ? task.checkpoint : checkpoint;
    if (outcome === 'done') {
      this.setDone(address, task);
      return true;
    }
    const failures = task.failures + (outcome === 'failed' ? 1 : 0);
    this.setTask(address, { ...task, phase: 'waiting', failures, checkpoint: kept });
    return true;
  }

  /** Records that all tasks of a gang are done, including those whose own end was not reported. */
  recordGangDone(time: number, step: number): void {
    for (const [index, task] of this.listTasks(time, step).entries()) {
      if (task.phase !== 'done') {
        this.setDone({ repetition: time, step, index }, task);
      }
    }
  }

  /** Records a newer checkpoint of a task. */
  recordCheckpoint(address: TaskAddress, checkpoint: string): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done' && checkpoint !== '') {
      this.setTask(address, { ...task, checkpoint });
    }
  }

  /** Sets the number of failed runs, as read from the log. */
  recordFailures(address: TaskAddress, failures: number): void {
    const task = this.getTask(address);
    if (task !== undefined) {
      this.setTask(address, { ...task, failures });
    }
  }

  /** Records the crash of an endpoint under a task, in place of an earlier record of the same crash. */
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

  /** Records the crash of an endpoint that is not confirmed yet, in place of an earlier record of the same crash. */
  recordUnconfirmedCrash(address: TaskAddress, crash: TaskCrash): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done') {
      const others = task.unconfirmedCrashes.filter(({ endpoint }) => endpoint !== crash.endpoint);
      this.setTask(address, { ...task, unconfirmedCrashes: [...others, crash] });
    }
  }

  /** Removes the unconfirmed crash of an endpoint, if there is one. */
  removeUnconfirmedCrash(address: TaskAddress, endpoint: EndpointIncarnation): void {
    const task = this.getTask(address);
    if (task?.unconfirmedCrashes.some((crash) => crash.endpoint === endpoint) === true) {
      this.setTask(address, {
        ...task,
        unconfirmedCrashes: task.unconfirmedCrashes.filter((crash) => crash.endpoint !== endpoint),
      });
    }
  }

  /** Removes the crashes, confirmed or not, that match a predicate. Returns false when none did. */
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

  /** Records the outcome of the job. Ignored when it has one. */
  recordJobEnd(ending: 'completed' | 'failed' | 'cancelled', atMs: number): void {
    if (this.ending === undefined) {
      this.ending = ending;
      this.endedAtMs = atMs;
    }
  }

  private setDone(address: TaskAddress, task: TaskProgress): void {
    this.setTask(address, { ...task, phase: 'done', checkpoint: '', crashes: [], unconfirmedCrashes: [] });
    const steps = this.openCounts[address.repetition]!;
    steps[address.step] = steps[address.step]! - 1;
    this.openTotal -= 1;
  }

  private setTask(address: TaskAddress, task: TaskProgress): void {
    this.version += 1;
    this.tasks[address.repetition]![address.step]![address.index] = task;
  }
}
