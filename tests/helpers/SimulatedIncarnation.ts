import type { EndedTaskStatus } from '../../packages/dispatch/endpoints/EndedTaskStatus';
import type { RunningTaskStatus } from '../../packages/dispatch/endpoints/RunningTaskStatus';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import type { TaskName } from '../../packages/jobs/TaskName';
import type { RunChecker } from '../../packages/standins/platform/RunChecker';

interface SimulatedRun {
  readonly run: number;
  readonly startedAt: number;
  readonly runMs: number;
  readonly timer: NodeJS.Timeout | undefined;
}

interface SimulatedIncarnationOptions {
  readonly incarnation: EndpointIncarnation;
  readonly runChecker: RunChecker;
  /** Called when a task crashes the incarnation. */
  readonly handleCrash: () => void;
  /** Time of its clock that passes in a unit of time; 1 if not given, less for a slow clock. */
  readonly clockRate?: number;
}

/** Result of a start command. */
type StartResult = 'done' | 'fence' | 'old' | 'late';

const CRASHING = 'crashes';
const CRASH_AFTER_MS = 10;
const MAX_LEASE_MS = 10_000;

/**
 * One incarnation of an endpoint on virtual time. It has no state of earlier ones: its clock and sequence numbers start at zero, it has seen no
 * token, and no run has ended or was stopped there.
 */
export class SimulatedIncarnation {
  private readonly startedAt = performance.now();
  private readonly runs = new Map<TaskName, SimulatedRun>();
  private readonly stoppedRuns = new Map<TaskName, number>();
  private ends: EndedTaskStatus[] = [];
  private endCount = 0;
  private lastExpiredEnd = 0;
  private lastListedEnd = 0;
  private highestToken = 0;
  private leaseExpiresAt = -Infinity;
  private leaseTimer: NodeJS.Timeout | undefined;
  private endWaiters: (() => void)[] = [];
  hasEnded = false;

  constructor(private readonly options: SimulatedIncarnationOptions) {}

  /** Returns the incarnation's own clock, in milliseconds. */
  getClock(): number {
    return (performance.now() - this.startedAt) * this.getClockRate();
  }

  /** Records the token of a call. Returns false when a higher one has been seen. */
  checkToken(token: number): boolean {
    if (token < this.highestToken) {
      return false;
    }
    this.highestToken = token;
    return true;
  }

  handleStart(task: TaskName, run: number, spec: string, expiresMs: number, token: number): StartResult {
    if (!this.checkToken(token)) {
      return 'fence';
    }
    if ((this.stoppedRuns.get(task) ?? 0) >= run) {
      return 'old';
    }
    if (expiresMs <= this.getClock()) {
      return 'late';
    }
    if (!this.runs.has(task)) {
      this.startRun(task, run, spec);
    }
    this.applyLease(expiresMs);
    return 'done';
  }

  handleStop(task: TaskName, run: number): void {
    this.stoppedRuns.set(task, Math.max(this.stoppedRuns.get(task) ?? 0, run));
    if (this.runs.get(task)?.run === run) {
      this.recordEnd(task, 'stopped');
    }
  }

  /** Forgets the ends up to a sequence number, and renews the lease. */
  handlePoll(acknowledgedUpTo: number, expiresMs: number | undefined): void {
    const { incarnation, runChecker } = this.options;
    for (const { number, task, run, how } of this.ends) {
      if (number <= acknowledgedUpTo && number > this.lastListedEnd) {
        runChecker.recordEarlyAcknowledgement(incarnation, task, run);
      }
      if (number <= acknowledgedUpTo && number > this.lastExpiredEnd && how === 'done') {
        runChecker.recordAcknowledgedEnd(task, run);
      }
    }
    this.ends = this.ends.filter(({ number }) => number > acknowledgedUpTo);
    if (expiresMs !== undefined) {
      this.applyLease(expiresMs);
    }
  }

  /** Resolves when there is an end to list, or after a time, in milliseconds. */
  async waitForEnd(waitMs: number): Promise<void> {
    if (waitMs <= 0 || this.ends.length > 0) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.endWaiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  getStatus(): {
    readonly running: readonly RunningTaskStatus[];
    readonly ended: readonly EndedTaskStatus[];
  } {
    this.lastListedEnd = this.ends[this.ends.length - 1]?.number ?? this.lastListedEnd;
    const running = [...this.runs].map(([task, { run, startedAt, runMs }]) => ({
      task,
      run,
      checkpoint: '',
      percent: Math.min(99, Math.floor(((performance.now() - startedAt) * 100) / runMs)),
      load: 0,
    }));
    return { running, ended: [...this.ends] };
  }

  /** Ends the incarnation with its runs. */
  stop(): void {
    this.hasEnded = true;
    clearTimeout(this.leaseTimer);
    for (const [task, { run, timer }] of this.runs) {
      clearTimeout(timer);
      this.options.runChecker.recordEnd(this.options.incarnation, task, run, 'gone');
    }
    this.runs.clear();
    this.endWaiters.splice(0).forEach((wake) => wake());
  }

  private startRun(task: TaskName, run: number, spec: string): void {
    const isCrashing = spec === CRASHING;
    const runMs = isCrashing ? Infinity : Number(spec);
    const timer = isCrashing ? undefined : setTimeout(() => this.recordEnd(task, 'done'), runMs);
    if (isCrashing) {
      setTimeout(() => !this.hasEnded && this.options.handleCrash(), CRASH_AFTER_MS);
    }
    this.runs.set(task, { run, startedAt: performance.now(), runMs, timer });
    this.options.runChecker.recordStart(this.options.incarnation, task, run);
  }

  private recordEnd(task: TaskName, how: EndedTaskStatus['how']): void {
    const { run, timer } = this.runs.get(task)!;
    clearTimeout(timer);
    this.runs.delete(task);
    this.stoppedRuns.set(task, Math.max(this.stoppedRuns.get(task) ?? 0, run));
    this.endCount += 1;
    this.ends.push({ number: this.endCount, task, run, how, checkpoint: '' });
    this.options.runChecker.recordEnd(this.options.incarnation, task, run, how);
    this.endWaiters.splice(0).forEach((wake) => wake());
  }

  /** Renews the lease, which is never shortened, and limited to the longest one. */
  private applyLease(expiresMs: number): void {
    const until = Math.min(expiresMs, this.getClock() + MAX_LEASE_MS);
    if (until <= this.leaseExpiresAt) {
      return;
    }
    this.leaseExpiresAt = until;
    clearTimeout(this.leaseTimer);
    const leftMs = Math.max(0, until - this.getClock()) / this.getClockRate();
    this.leaseTimer = setTimeout(() => this.handleLeaseExpiry(), leftMs);
  }

  private getClockRate(): number {
    return this.options.clockRate ?? 1;
  }

  private handleLeaseExpiry(): void {
    this.lastExpiredEnd = this.endCount;
    [...this.runs.keys()].forEach((task) => this.recordEnd(task, 'lapsed'));
  }
}
