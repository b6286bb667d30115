import type { BoxProcess } from './BoxProcess';

/** What a process says of itself as a witness, once it knows of a newer leader. Times are monotonic times of the reading process. */
export interface WitnessReport extends BoxProcess {
  /** Time by which it had certainly last vouched for a leader, in milliseconds; -Infinity if it never has. */
  readonly vouchedBy: number;
}
