/** Waiting and ends of one row and team in a replay. */
interface ReplayRow {
  readonly row: string;
  readonly requests: number;
  readonly placed: number;
  readonly refused: number;
  /** Ended after their deadline. */
  readonly late: number;
  /** Ended by their deadline. */
  readonly good: number;
  readonly waitP50Ms: number;
  readonly waitP99Ms: number;
  readonly waitMaxMs: number;
}

/** What a replay found. All of it is the same on every run. */
export interface ReplayResult {
  readonly policy: string;
  readonly events: number;
  readonly placements: number;
  readonly preemptions: number;
  readonly refusals: number;
  readonly sentOn: number;
  readonly rows: readonly ReplayRow[];
  /** Mean share in use while something waited, 0 to 1. */
  readonly packing: {
    readonly cpus: number;
    readonly memoryMb: number;
    readonly accelerators: number;
    readonly slots: number;
  };
  /** Time during which something waited, in milliseconds. */
  readonly waitingMs: number;
  /** Fraction of a worker-time that was busy at all, while something ran. */
  readonly workersInUse: number;
  /** Hash over all decisions in order. */
  readonly digest: string;
}
