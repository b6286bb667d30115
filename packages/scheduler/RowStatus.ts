import type { RowName } from '../common/RowName';

/** Counts of one row in one entry process. */
export interface RowStatus {
  readonly row: RowName;
  readonly waiting: number;
  readonly running: number;
  /** How many more tasks could start now. */
  readonly room: number;
  /** Moving average of run time, in milliseconds. */
  readonly runMs: number;
}
