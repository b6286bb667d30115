import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { ImplicatedTask } from './ImplicatedTask';
import { crashLimits } from './crashLimits';

/** Longer than a task that crashes its endpoints takes to reach the crash limit. */
const RETENTION_MS = 120_000;

const removeOutdated = <Key>(times: Map<Key, number>, keptMs: number, now: number): void => {
  for (const [key, at] of times) {
    if (now - at >= keptMs) {
      times.delete(key);
    }
  }
};

/** Recent crashes of endpoints with their implicated tasks. Separates crashes with an external cause from those that tasks cause. */
export class CrashHistory {
  private readonly implicated = new Map<EndpointIncarnation, readonly ImplicatedTask[]>();
  /** Monotonic time of the newest crash of each machine, by address. */
  private readonly machineCrashedAt = new Map<string, number>();
  /** Jobs with a task over the crash limit, with the monotonic time of that: their other tasks may still crash endpoints. */
  private readonly jobsOverLimit = new Map<JobId, number>();
  /** Incarnations whose crash is explained by a task over the crash limit. */
  private readonly explained = new Set<EndpointIncarnation>();
  /** Monotonic time of the newest crash that no task is to blame for. */
  private unexplainedAt = -Infinity;

  recordImplicated(endpoint: EndpointIncarnation, task: ImplicatedTask): void {
    this.implicated.set(endpoint, [...this.listImplicated(endpoint), task]);
  }

  /** Returns the tasks that the crash of an endpoint was put down to. */
  listImplicated(endpoint: EndpointIncarnation): readonly ImplicatedTask[] {
    return this.implicated.get(endpoint) ?? [];
  }

  recordMachineCrash(address: string, now: number): void {
    this.machineCrashedAt.set(address, now);
  }

  /** Returns true when the machine has crashed so recently that another crash there is weak evidence against a task. */
  hasCrashedRecently(address: string, now: number): boolean {
    return now - (this.machineCrashedAt.get(address) ?? -Infinity) < crashLimits.recentCrashMs;
  }

  /** Records whether a crash has no job to blame, or is explained by a job that is already over the crash limit. */
  recordLoss(endpoint: EndpointIncarnation, blamed: readonly JobId[], now: number): void {
    if (blamed.length === 0) {
      this.unexplainedAt = now;
    }
    if (blamed.some((job) => this.jobsOverLimit.has(job))) {
      this.explained.add(endpoint);
    }
  }

  /** Records that a job is over the crash limit. This explains all crashes that any of its tasks is to blame for, since they are alike. */
  recordOverLimit(jobOverLimit: JobId, now: number): void {
    this.jobsOverLimit.set(jobOverLimit, now);
    for (const [endpoint, tasks] of this.implicated) {
      if (tasks.some(({ job, isBlamed }) => job === jobOverLimit && isBlamed)) {
        this.explained.add(endpoint);
      }
    }
  }

  /** Returns true while there are recent crashes for which no task is, or still is, to blame. */
  hasUnexplainedLosses(
    now: number,
    hasCrash: (task: ImplicatedTask, endpoint: EndpointIncarnation) => boolean,
  ): boolean {
    const { unexplainedLossMs } = crashLimits;
    const isLoss = (endpoint: EndpointIncarnation, tasks: readonly ImplicatedTask[]): boolean =>
      !this.explained.has(endpoint) &&
      tasks.every(
        (task) => now - task.since < unexplainedLossMs && !(task.isBlamed && hasCrash(task, endpoint)),
      );
    return (
      now - this.unexplainedAt < unexplainedLossMs ||
      [...this.implicated].some(([endpoint, tasks]) => isLoss(endpoint, tasks))
    );
  }

  /** Removes outdated crashes. */
  removeOutdated(now: number): void {
    for (const [endpoint, tasks] of this.implicated) {
      if (tasks.every(({ since }) => now - since >= RETENTION_MS)) {
        this.implicated.delete(endpoint);
      }
    }
    for (const endpoint of this.explained) {
      if (!this.implicated.has(endpoint)) {
        this.explained.delete(endpoint);
      }
    }
    removeOutdated(this.jobsOverLimit, RETENTION_MS, now);
    removeOutdated(this.machineCrashedAt, crashLimits.recentCrashMs, now);
  }
}
