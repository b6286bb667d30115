import { toId } from '../common/toId';
import type { EndpointIncarnation } from './EndpointIncarnation';
import type { JobDefinition } from './JobDefinition';
import type { JobState } from './JobState';
import type { RunOutcome } from './RunOutcome';
import type { TaskAddress } from './TaskAddress';
import type { TaskCrash } from './TaskCrash';
import type { TaskProgress } from './TaskProgress';

const NOWHERE = toId<EndpointIncarnation>('');
const UNTOUCHED: TaskProgress = {
  phase: 'waiting',
  run: 0,
  failures: 0,
  endpoint: NOWHERE,
  checkpoint: '',
  crashes: [],
  doubts: [],
};

/**
 * Progress of one job: a task table [time][step][index] and the job's own end.
 * Pure state: no clock, no sockets. Each change takes the run that it concerns, and changes of older runs are passed over,
 * so that applying one twice or late is harmless.
 */
export class JobProgress {
  private readonly tasks: TaskProgress[][][] = [];
  /** Tasks that are not done, by [time][step]. */
  private readonly open: number[][] = [];
  private openTotal = 0;
  private begun = false;
  /** Wall clock of the job's end; 0 while it has none. */
  private endedAtMs = 0;
  private ending: 'completed' | 'failed' | 'cancelled' | undefined;
  /** Rises with each change of a task. */
  private version = 0;

  constructor(private readonly definition: JobDefinition) {
    for (let time = 0; time < definition.times; time += 1) {
      this.tasks.push(definition.steps.map((step) => Array<TaskProgress>(step.count).fill(UNTOUCHED)));
      this.open.push(definition.steps.map((step) => step.count));
    }
    this.openTotal = definition.times * definition.steps.reduce((sum, step) => sum + step.count, 0);
  }

  getTask(address: TaskAddress): TaskProgress | undefined {
    return this.tasks[address.time]?.[address.step]?.[address.index];
  }

  listTasks(time: number, step: number): readonly TaskProgress[] {
    return this.tasks[time]?.[step] ?? [];
  }

  /** A number that rises with each change of a task. */
  getVersion(): number {
    return this.version;
  }

  getState(): JobState {
    return this.ending ?? (this.begun ? 'running' : 'queued');
  }

  getEndedAtMs(): number {
    return this.endedAtMs;
  }

  isEnded(): boolean {
    return this.ending !== undefined;
  }

  isStepDone(time: number, step: number): boolean {
    return this.open[time]?.[step] === 0;
  }

  /** Tasks of a step that are not done. */
  countOpenTasks(time: number, step: number): number {
    return this.open[time]?.[step] ?? 0;
  }

  /** True when every step that this one waits for is done. */
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
    this.begun = true;
    this.writeTask(address, { ...task, phase: 'placed', run, endpoint });
  }

  /** Records that the newest run, which has not ended, may have reached another life than the one that it was placed on. */
  recordTransfer(address: TaskAddress, run: number, endpoint: EndpointIncarnation): void {
    const task = this.getTask(address);
    if (task?.phase === 'placed' && task.run === run) {
      this.writeTask(address, { ...task, endpoint });
    }
  }

  /** Records how the newest run ended. Returns false when that run is not the newest, or has ended before. */
  recordEnd(address: TaskAddress, run: number, outcome: RunOutcome, checkpoint: string): boolean {
    const task = this.getTask(address);
    if (task === undefined || task.phase !== 'placed' || task.run !== run) {
      return false;
    }
    const kept = checkpoint === '' ? task.checkpoint : checkpoint;
    if (outcome === 'done') {
      this.writeDone(address, task);
      return true;
    }
    const failures = task.failures + (outcome === 'failed' ? 1 : 0);
    this.writeTask(address, { ...task, phase: 'waiting', failures, checkpoint: kept });
    return true;
  }

  /** Records that a gang is done: the end of one member stands for all, also for those whose own end was lost. */
  recordGangDone(time: number, step: number): void {
    for (const [index, task] of this.listTasks(time, step).entries()) {
      if (task.phase !== 'done') {
        this.writeDone({ time, step, index }, task);
      }
    }
  }

  /** Records a newer checkpoint of a task. */
  recordCheckpoint(address: TaskAddress, checkpoint: string): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done' && checkpoint !== '') {
      this.writeTask(address, { ...task, checkpoint });
    }
  }

  /** Sets the count of failed runs, as read from the log. */
  recordFailures(address: TaskAddress, failures: number): void {
    const task = this.getTask(address);
    if (task !== undefined) {
      this.writeTask(address, { ...task, failures });
    }
  }

  /** Records that an endpoint ended under a task, or what is newly known of that. */
  recordCrash(address: TaskAddress, crash: TaskCrash): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done') {
      const isOther = ({ endpoint }: TaskCrash): boolean => endpoint !== crash.endpoint;
      const crashes = [...task.crashes.filter(isOther), crash];
      this.writeTask(address, { ...task, crashes, doubts: task.doubts.filter(isOther) });
    }
  }

  /** Notes that an endpoint fell silent for good under a task, which is to be charged with it once it is known to have ended. */
  recordUnconfirmedCrash(address: TaskAddress, doubt: TaskCrash): void {
    const task = this.getTask(address);
    if (task !== undefined && task.phase !== 'done') {
      const others = task.doubts.filter(({ endpoint }) => endpoint !== doubt.endpoint);
      this.writeTask(address, { ...task, doubts: [...others, doubt] });
    }
  }

  /** Drops the note on an endpoint. */
  removeUnconfirmedCrash(address: TaskAddress, endpoint: EndpointIncarnation): void {
    const task = this.getTask(address);
    if (task?.doubts.some((doubt) => doubt.endpoint === endpoint) === true) {
      this.writeTask(address, {
        ...task,
        doubts: task.doubts.filter((doubt) => doubt.endpoint !== endpoint),
      });
    }
  }

  /** Takes back some of what was recorded of endpoints. Returns false when there was nothing of it. */
  removeCrashes(address: TaskAddress, isRevoked: (crash: TaskCrash) => boolean): boolean {
    const task = this.getTask(address);
    if (task === undefined || ![...task.crashes, ...task.doubts].some(isRevoked)) {
      return false;
    }
    const isKept = (crash: TaskCrash): boolean => !isRevoked(crash);
    this.writeTask(address, {
      ...task,
      crashes: task.crashes.filter(isKept),
      doubts: task.doubts.filter(isKept),
    });
    return true;
  }

  /** Records the end of the job as a whole. The first end stands. */
  recordJobEnd(ending: 'completed' | 'failed' | 'cancelled', atMs: number): void {
    if (this.ending === undefined) {
      this.ending = ending;
      this.endedAtMs = atMs;
    }
  }

  private writeDone(address: TaskAddress, task: TaskProgress): void {
    this.writeTask(address, { ...task, phase: 'done', checkpoint: '', crashes: [], doubts: [] });
    const steps = this.open[address.time]!;
    steps[address.step] = steps[address.step]! - 1;
    this.openTotal -= 1;
  }

  private writeTask(address: TaskAddress, task: TaskProgress): void {
    this.version += 1;
    this.tasks[address.time]![address.step]![address.index] = task;
  }
}
