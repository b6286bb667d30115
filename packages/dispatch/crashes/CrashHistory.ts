import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { ImplicatedTask } from './ImplicatedTask';
import { crashLimits } from './crashLimits';

/** Time for which crashes are kept: longer than a task that crashes its endpoints takes to reach the crash limit. */
const CRASH_RETENTION_MS = 120_000;

/** Removes the entries whose monotonic time is at least `retentionMs` ago. */
const removeOutdatedTimes = <Key>(times: Map<Key, number>, retentionMs: number, now: number): void => {
  for (const [key, at] of times) {
    if (now - at >= retentionMs) {
      times.delete(key);
    }
  }
};

/** Recent crashes of endpoints with their implicated tasks. Separates crashes with an external cause from those that tasks cause. */
export class CrashHistory {
  /** Tasks with a record of the crash, by crashed incarnation. */
  private readonly implicatedTasks = new Map<EndpointIncarnation, readonly ImplicatedTask[]>();
  /** Monotonic time of the newest endpoint crash on each machine, by address. */
  private readonly machineCrashedAt = new Map<string, number>();
  /** Jobs with a task over the crash limit, with the monotonic time at which the task was found to be over the limit. */
  private readonly jobsOverLimit = new Map<JobId, number>();
  /** Incarnations whose crash is explained by a job with a task over the crash limit. */
  private readonly explainedCrashes = new Set<EndpointIncarnation>();
  /** Monotonic time of the newest crash that no task was to blame for; -Infinity before the first. */
  private unexplainedCrashAt = -Infinity;

  /** Records a task that the crash of an endpoint is put down to. */
  recordImplicatedTask(endpoint: EndpointIncarnation, task: ImplicatedTask): void {
    this.implicatedTasks.set(endpoint, [...this.listImplicatedTasks(endpoint), task]);
  }

  /** Returns the tasks that the crash of an endpoint was put down to. */
  listImplicatedTasks(endpoint: EndpointIncarnation): readonly ImplicatedTask[] {
    return this.implicatedTasks.get(endpoint) ?? [];
  }

  /** Records that an endpoint has crashed on the machine with this address. */
  recordMachineCrash(address: string, now: number): void {
    this.machineCrashedAt.set(address, now);
  }

  /** Returns true when an endpoint on the machine has crashed recently, so that another crash there is weak evidence against a task. */
  hasCrashedRecently(address: string, now: number): boolean {
    return now - (this.machineCrashedAt.get(address) ?? -Infinity) < crashLimits.recentMachineCrashMs;
  }

  /** Records a crash as unexplained when there is no job to blame, or as explained when a blamed job has a task over the crash limit. */
  recordCrashCause(endpoint: EndpointIncarnation, blamedJobs: readonly JobId[], now: number): void {
    if (blamedJobs.length === 0) {
      this.unexplainedCrashAt = now;
    }
    if (blamedJobs.some((job) => this.jobsOverLimit.has(job))) {
      this.explainedCrashes.add(endpoint);
    }
  }

  /** Records that a job has a task over the crash limit. This explains all crashes that any task of the job is to blame for, since its tasks are alike. */
  recordJobOverLimit(jobOverLimit: JobId, now: number): void {
    this.jobsOverLimit.set(jobOverLimit, now);
    for (const [endpoint, tasks] of this.implicatedTasks) {
      if (tasks.some(({ job, isBlamed }) => job === jobOverLimit && isBlamed)) {
        this.explainedCrashes.add(endpoint);
      }
    }
  }

  /**
   * Returns true while there are recent crashes that no task over the crash limit explains, and that no task is to blame for, or none any more.
   * `hasCrashRecord` tells whether a task still has its record of a crash.
   */
  hasUnexplainedCrashes(
    now: number,
    hasCrashRecord: (task: ImplicatedTask, endpoint: EndpointIncarnation) => boolean,
  ): boolean {
    const { unexplainedCrashMs } = crashLimits;
    const isUnexplained = (endpoint: EndpointIncarnation, tasks: readonly ImplicatedTask[]): boolean =>
      !this.explainedCrashes.has(endpoint) &&
      tasks.every(
        (task) =>
          now - task.recordedAt < unexplainedCrashMs && !(task.isBlamed && hasCrashRecord(task, endpoint)),
      );
    return (
      now - this.unexplainedCrashAt < unexplainedCrashMs ||
      [...this.implicatedTasks].some(([endpoint, tasks]) => isUnexplained(endpoint, tasks))
    );
  }

  /** Removes crashes, jobs over the crash limit and machine crashes whose retention time is over. */
  removeOutdatedCrashes(now: number): void {
    for (const [endpoint, tasks] of this.implicatedTasks) {
      if (tasks.every(({ recordedAt }) => now - recordedAt >= CRASH_RETENTION_MS)) {
        this.implicatedTasks.delete(endpoint);
      }
    }
    for (const endpoint of this.explainedCrashes) {
      if (!this.implicatedTasks.has(endpoint)) {
        this.explainedCrashes.delete(endpoint);
      }
    }
    removeOutdatedTimes(this.jobsOverLimit, CRASH_RETENTION_MS, now);
    removeOutdatedTimes(this.machineCrashedAt, crashLimits.recentMachineCrashMs, now);
  }
}
