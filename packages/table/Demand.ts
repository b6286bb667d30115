/** What one task takes of a worker while it runs. */
export interface Demand {
  /** Processors, in cores. */
  readonly cpus: number;
  /** Memory in MB. */
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly slots: number;
}
