/** One run on an endpoint stand-in. */
export interface ExecutorRun {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  readonly startedAt: number;
  readonly runMs: number;
  readonly timer: NodeJS.Timeout | undefined;
}
