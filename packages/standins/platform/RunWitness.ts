interface SeenRun {
  readonly endpoint: string;
  readonly task: string;
  readonly run: number;
}

/** Sees every start and end on all endpoint stand-ins, and says which promises were broken. */
export class RunWitness {
  private readonly running = new Map<string, SeenRun[]>();
  private readonly doneTasks = new Set<string>();
  private readonly startCounts = new Map<string, number>();
  private readonly perEndpoint = new Map<string, number>();
  private readonly problems: string[] = [];

  /** `maxRuns`: tasks that one endpoint has room for. */
  constructor(private readonly maxRuns: number) {}

  recordStart(endpoint: string, task: string, run: number): void {
    const others = this.running.get(task) ?? [];
    if (others.length > 0) {
      this.problems.push(
        `${task} run ${run} on ${endpoint} beside run ${others[0]!.run} on ${others[0]!.endpoint}`,
      );
    }
    if (this.doneTasks.has(task)) {
      this.problems.push(`${task} run ${run} on ${endpoint} after it was done`);
    }
    this.running.set(task, [...others, { endpoint, task, run }]);
    this.startCounts.set(task, (this.startCounts.get(task) ?? 0) + 1);
    const count = (this.perEndpoint.get(endpoint) ?? 0) + 1;
    this.perEndpoint.set(endpoint, count);
    if (count > this.maxRuns) {
      this.problems.push(`${endpoint} runs ${count} tasks of ${this.maxRuns}`);
    }
  }

  recordEnd(endpoint: string, task: string, run: number, how: string): void {
    const others = (this.running.get(task) ?? []).filter(
      (seen) => seen.endpoint !== endpoint || seen.run !== run,
    );
    this.running.set(task, others);
    this.perEndpoint.set(endpoint, (this.perEndpoint.get(endpoint) ?? 1) - 1);
    if (how === 'done') {
      this.doneTasks.add(task);
    }
  }

  readProblems(): readonly string[] {
    return this.problems;
  }

  readStartCount(task: string): number {
    return this.startCounts.get(task) ?? 0;
  }

  readTotalStarts(): number {
    return [...this.startCounts.values()].reduce((sum, count) => sum + count, 0);
  }

  readDoneCount(): number {
    return this.doneTasks.size;
  }
}
