import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { ImplicatedTask } from './ImplicatedTask';
import { crashLimits } from './crashLimits';

/** Longer than it takes until a harmful task has been started so often that it is given up. */
const CHARGES_KEPT_MS = 120_000;

const revokeOutdated = <Key>(times: Map<Key, number>, keptMs: number, now: number): void => {
  for (const [key, at] of times) {
    if (now - at >= keptMs) {
      times.delete(key);
    }
  }
};

/** What the newest ends of endpoints were put down to: tells losses from outside from the harm that tasks do. */
export class CrashHistory {
  private readonly charged = new Map<EndpointIncarnation, readonly ImplicatedTask[]>();
  /** When machines last crashed, by address. */
  private readonly crashedAt = new Map<string, number>();
  /** Jobs that were given up, with the monotonic time of it: other tasks of theirs may still end endpoints. */
  private readonly givenUpJobs = new Map<JobId, number>();
  /** Lives whose end is put down to a task that was given up. */
  private readonly explained = new Set<EndpointIncarnation>();
  /** Monotonic time at which an endpoint was last lost with no start to blame. */
  private unexplainedAt = -Infinity;

  recordCharged(life: EndpointIncarnation, task: ImplicatedTask): void {
    this.charged.set(life, [...this.readCharged(life), task]);
  }

  /** Tasks that were charged with the end of an endpoint. */
  readCharged(life: EndpointIncarnation): readonly ImplicatedTask[] {
    return this.charged.get(life) ?? [];
  }

  recordCrashed(address: string, now: number): void {
    this.crashedAt.set(address, now);
  }

  /** Tells whether a machine has crashed so lately that the next crash there would tell little of a task. */
  hasCrashedLately(address: string, now: number): boolean {
    return now - (this.crashedAt.get(address) ?? -Infinity) < crashLimits.recentCrashMs;
  }

  /** Notes whether an endpoint that was lost has some start to blame, or one whose job has been given up already. */
  recordLoss(life: EndpointIncarnation, blamed: readonly JobId[], now: number): void {
    if (blamed.length === 0) {
      this.unexplainedAt = now;
    }
    if (blamed.some((job) => this.givenUpJobs.has(job))) {
      this.explained.add(life);
    }
  }

  /** Tasks of one job are alike: what was put down to any of them is explained too, or half the harm of a wide step would look like losses. */
  recordGivenUp(guilty: JobId, now: number): void {
    this.givenUpJobs.set(guilty, now);
    for (const [life, tasks] of this.charged) {
      if (tasks.some(({ job, isBlamed }) => job === guilty && isBlamed)) {
        this.explained.add(life);
      }
    }
  }

  /** True while endpoints are lost that nothing had just begun on, or for which all that had has been done since. */
  isAmongLosses(
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
      [...this.charged].some(([life, tasks]) => isLoss(life, tasks))
    );
  }

  /** Forgets what is too old to tell anything. */
  applyAge(now: number): void {
    for (const [life, tasks] of this.charged) {
      if (tasks.every(({ since }) => now - since >= CHARGES_KEPT_MS)) {
        this.charged.delete(life);
      }
    }
    for (const life of this.explained) {
      if (!this.charged.has(life)) {
        this.explained.delete(life);
      }
    }
    revokeOutdated(this.givenUpJobs, CHARGES_KEPT_MS, now);
    revokeOutdated(this.crashedAt, crashLimits.recentCrashMs, now);
  }
}
