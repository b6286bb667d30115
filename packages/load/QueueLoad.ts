/** Waiting and running work of a queue. */
export interface QueueLoad {
  readonly queue: string;
  /** Number of tasks that are ready and wait for a start. */
  readonly waitingTasks: number;
  /** Processor demand of the waiting tasks, in thousandths of a core. */
  readonly waitingCpuMillis: number;
  /** Processor demand of the runs, in thousandths of a core. */
  readonly runningCpuMillis: number;
  /** Expected time from the arrival of a task to its start, in milliseconds. */
  readonly expectedWaitMs: number;
}
