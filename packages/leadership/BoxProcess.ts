/** A process of a box that is known to run. A box runs one process at a time, so that its earlier ones have ended. */
export interface BoxProcess {
  readonly box: string;
  /** Id of the process, unique for each process of a box. */
  readonly process: string;
  /** Monotonic time of this process by which that process had certainly started, in milliseconds. */
  readonly startedBy: number;
}
