import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { ImplicatedTask } from './ImplicatedTask';
import { crashLimits } from './crashLimits';

/** Longer than it takes until a harmful task has been started so often that it is given up. */
const RETENTION_MS = 120_000;

const removeOutdated = <Key>(times: Map<Key, number>, keptMs: number, now: number): void => {
  for (const [key, at] of times) {
    if (now - at >= keptMs) {
      times.delete(key);
    }
  }
};

/** What the newest ends of endpoints were put down to: tells losses from outside from the harm that tasks do. */
export class CrashHistory {
  private readonly implicated = new Map<EndpointIncarnation, readonly ImplicatedTask[]>();
  /** When machines last crashed, by address. */
  private readonly machineCrashedAt = new Map<string, number>();
  /** Jobs that were given up, with the monotonic time of it: other tasks of theirs may still end endpoints. */
  private readonly jobsOverLimit = new Map<JobId, number>();
  /** Lives whose end is put down to a task that was given up. */
  private readonly explained = new Set<EndpointIncarnation>();
  /** Monotonic time at which an endpoint was last lost with no start to blame. */
  private unexplainedAt = -Infinity;

  recordImplicated(life: EndpointIncarnation, task: ImplicatedTask): void {
    this.implicated.set(life, [...this.listImplicated(life), task]);
  }

  /** Tasks that were charged with the end of an endpoint. */
  listImplicated(life: EndpointIncarnation): readonly ImplicatedTask[] {
    return this.implicated.get(life) ?? [];
  }

  recordMachineCrash(address: string, now: number): void {
    this.machineCrashedAt.set(address, now);
  }

  /** Tells whether a machine has crashed so lately that the next crash there would tell little of a task. */
  hasCrashedRecently(address: string, now: number): boolean {
    return now - (this.machineCrashedAt.get(address) ?? -Infinity) < crashLimits.recentCrashMs;
  }

  /** Notes whether an endpoint that was lost has some start to blame, or one whose job has been given up already. */
  recordLoss(life: EndpointIncarnation, blamed: readonly JobId[], now: number): void {
    if (blamed.length === 0) {
      this.unexplainedAt = now;
    }
    if (blamed.some((job) => this.jobsOverLimit.has(job))) {
      this.explained.add(life);
    }
  }

  /** Tasks of one job are alike: what was put down to any of them is explained too, or half the harm of a wide step would look like losses. */
  recordOverLimit(guilty: JobId, now: number): void {
    this.jobsOverLimit.set(guilty, now);
    for (const [life, tasks] of this.implicated) {
      if (tasks.some(({ job, isBlamed }) => job === guilty && isBlamed)) {
        this.explained.add(life);
      }
    }
  }

  /** True while endpoints are lost that nothing had just begun on, or for which all that had has been done since. */
  hasUnexplainedLosses(
    now: number,
    hasCharge: (task: ImplicatedTask, life: EndpointIncarnation) => boolean,
  ): boolean {
    const { unexplainedLossMs } = crashLimits;
    const isLoss = (life: EndpointIncarnation, tasks: readonly ImplicatedTask[]): boolean =>
      !this.explained.has(life) &&
      tasks.every(
        (task) => now - task.since < unexplainedLossMs && !(task.isBlamed && hasCharge(task, life)),
      );
    return (
      now - this.unexplainedAt < unexplainedLossMs ||
      [...this.implicated].some(([life, tasks]) => isLoss(life, tasks))
    );
  }

  /** Forgets what is too old to tell anything. */
  removeOutdated(now: number): void {
    for (const [life, tasks] of this.implicated) {
      if (tasks.every(({ since }) => now - since >= RETENTION_MS)) {
        this.implicated.delete(life);
      }
    }
    for (const life of this.explained) {
      if (!this.implicated.has(life)) {
        this.explained.delete(life);
      }
    }
    removeOutdated(this.jobsOverLimit, RETENTION_MS, now);
    removeOutdated(this.machineCrashedAt, crashLimits.recentCrashMs, now);
  }
}
