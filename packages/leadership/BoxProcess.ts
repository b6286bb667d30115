/** A process of a box that is known to run. Only one process has the address at a time, so that earlier ones of the box there have ended. */
export interface BoxProcess {
  readonly box: string;
  /** Address of the box for other boxes. A new machine of the same name has another one, while the earlier machine may still run. */
  readonly address: string;
  /** Id of the process, unique for each process of a box. */
  readonly process: string;
  /** Monotonic time of this process by which that process had certainly started, in milliseconds. */
  readonly startedBy: number;
}
