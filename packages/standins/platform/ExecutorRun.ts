/** Run on an endpoint stand-in. Times are in milliseconds of its own clock. */
export interface ExecutorRun {
  readonly task: string;
  readonly runNumber: number;
  readonly spec: string;
  readonly startedAt: number;
  /** Duration of the run; Infinity when it runs until it is stopped. */
  readonly runMs: number;
  /** Timer of the end; undefined for an endless run. */
  readonly timer: NodeJS.Timeout | undefined;
}
