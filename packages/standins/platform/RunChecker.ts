interface ObservedRun {
  readonly endpoint: string;
  readonly task: string;
  readonly runNumber: number;
}

/** Number of lost endpoints after which starts of a task are counted separately. */
const ENDPOINT_LOSS_THRESHOLD = 3;

/** Observes the starts and ends of runs on all endpoint stand-ins, and collects violations of the scheduler's guarantees. */
export class RunChecker {
  private readonly runningByTask = new Map<string, ObservedRun[]>();
  /** Run number of the first completed run of each task. */
  private readonly firstDoneRunNumbers = new Map<string, number>();
  /** Description of the last start after a completed run, by that run's key; a violation once the end of the run is acknowledged. */
  private readonly startsAfterCompletion = new Map<string, string>();
  /** Keys of the runs whose end was acknowledged. */
  private readonly runsWithAcknowledgedEnd = new Set<string>();
  private readonly startCountsByTask = new Map<string, number>();
  private readonly runCountsByEndpoint = new Map<string, number>();
  private readonly lossCountsByTask = new Map<string, number>();
  private readonly startCountsAfterLosses = new Map<string, number>();
  private readonly violations: string[] = [];

  /** `maxRunsPerEndpoint` is the number of parallel runs that fit on one endpoint. */
  constructor(private readonly maxRunsPerEndpoint: number) {}

  /** Records a start. Parallel runs of a task and too many runs on an endpoint are violations. */
  recordStart(endpoint: string, task: string, run: number): void {
    const parallelRuns = this.runningByTask.get(task) ?? [];
    if (parallelRuns.length > 0) {
      this.violations.push(
        `${task} run ${run} on ${endpoint} beside run ${parallelRuns[0]!.runNumber} on ${parallelRuns[0]!.endpoint}`,
      );
    }
    const doneRun = this.firstDoneRunNumbers.get(task);
    if (doneRun !== undefined) {
      const key = `${task}#${doneRun}`;
      this.startsAfterCompletion.set(key, `${task} run ${run} on ${endpoint} after run ${doneRun} was done`);
      this.checkStartAfterCompletion(key);
    }
    this.runningByTask.set(task, [...parallelRuns, { endpoint, task, runNumber: run }]);
    this.startCountsByTask.set(task, (this.startCountsByTask.get(task) ?? 0) + 1);
    if (this.countLosses(task) >= ENDPOINT_LOSS_THRESHOLD) {
      this.startCountsAfterLosses.set(task, this.countStartsAfterLosses(task) + 1);
    }
    const count = (this.runCountsByEndpoint.get(endpoint) ?? 0) + 1;
    this.runCountsByEndpoint.set(endpoint, count);
    if (count > this.maxRunsPerEndpoint) {
      this.violations.push(`${endpoint} runs ${count} tasks of ${this.maxRunsPerEndpoint}`);
    }
  }

  /** Records an end. `gone` counts as a loss of the endpoint, and the first `done` completes the task. */
  recordEnd(endpoint: string, task: string, run: number, how: string): void {
    const remaining = (this.runningByTask.get(task) ?? []).filter(
      (other) => other.endpoint !== endpoint || other.runNumber !== run,
    );
    this.runningByTask.set(task, remaining);
    this.runCountsByEndpoint.set(endpoint, (this.runCountsByEndpoint.get(endpoint) ?? 1) - 1);
    if (how === 'gone') {
      this.lossCountsByTask.set(task, (this.lossCountsByTask.get(task) ?? 0) + 1);
    }
    if (how === 'done' && !this.firstDoneRunNumbers.has(task)) {
      this.firstDoneRunNumbers.set(task, run);
    }
  }

  /** Records as a violation that the end of a run was acknowledged before a response had listed it. */
  recordEarlyAcknowledgement(endpoint: string, task: string, run: number): void {
    this.violations.push(`${task} run ${run} on ${endpoint}: end acknowledged before it was listed`);
  }

  /** Records a violation: a call asked for a lease of `aheadMs` milliseconds by the endpoint's clock, more than any leader grants. */
  recordForeignLease(endpoint: string, path: string, aheadMs: number): void {
    this.violations.push(`${endpoint}: ${path} with a lease of ${aheadMs} ms, by another clock than its own`);
  }

  /** Records the acknowledged end of a completed run. A start of the task after its completion is then a violation. */
  recordAcknowledgedEnd(task: string, run: number): void {
    const key = `${task}#${run}`;
    this.runsWithAcknowledgedEnd.add(key);
    this.checkStartAfterCompletion(key);
  }

  /** Returns a description of each violation so far. */
  getViolations(): readonly string[] {
    return this.violations;
  }

  /** Returns how many runs of the task have started. */
  countStarts(task: string): number {
    return this.startCountsByTask.get(task) ?? 0;
  }

  /** Returns whether a run of the task is in progress. */
  isRunning(task: string): boolean {
    return (this.runningByTask.get(task) ?? []).length > 0;
  }

  /** Returns how many endpoints ended while they ran the task. */
  countLosses(task: string): number {
    return this.lossCountsByTask.get(task) ?? 0;
  }

  /** Returns the maximum over the job's tasks of the number of endpoints that ended while they ran the task. */
  computeMaxLosses(job: string): number {
    const counts = [...this.lossCountsByTask].filter(([task]) => task.startsWith(`${job}.`));
    return Math.max(0, ...counts.map(([, count]) => count));
  }

  /** Returns the number of starts of the task after three endpoints had ended while they ran it. */
  countStartsAfterLosses(task: string): number {
    return this.startCountsAfterLosses.get(task) ?? 0;
  }

  /** Returns how many runs of all tasks have started. */
  countAllStarts(): number {
    return [...this.startCountsByTask.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Records a violation, once, when the task started again after this run and the end of the run is acknowledged. */
  private checkStartAfterCompletion(key: string): void {
    const violation = this.startsAfterCompletion.get(key);
    if (violation !== undefined && this.runsWithAcknowledgedEnd.has(key)) {
      this.violations.push(violation);
      this.startsAfterCompletion.delete(key);
    }
  }
}
