/** What one queue has waiting and running. */
export interface QueueLoad {
  readonly queue: string;
  /** Tasks that could start and wait. */
  readonly waitingTasks: number;
  /** Processor time that they ask for, in thousandths of a core. */
  readonly waitingCpuMillis: number;
  /** Processor time that its runs hold, in thousandths of a core. */
  readonly runningCpuMillis: number;
  /** Time from now until a task that arrives now is expected to start, in milliseconds. */
  readonly expectedWaitMs: number;
}
