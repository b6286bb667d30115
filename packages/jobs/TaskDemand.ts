/** Room that one task takes on an endpoint, in whole units so that sums are exact. */
export interface TaskDemand {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}
