/** Run on an endpoint stand-in. Times are in milliseconds of its own clock. */
export interface ExecutorRun {
  readonly task: string;
  readonly runNumber: number;
  readonly spec: string;
  readonly startedAt: number;
  readonly runMs: number;
  readonly timer: NodeJS.Timeout | undefined;
}
