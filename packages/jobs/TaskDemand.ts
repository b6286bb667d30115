/** Resources that a task takes on an endpoint. Integers, so that sums are exact. */
export interface TaskDemand {
  /** Processor demand in thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
