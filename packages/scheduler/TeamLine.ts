import { RowQueue } from './RowQueue';

/** The waiting requests of one team within one row, and the team's place in the row's turn order. */
export interface TeamLine {
  readonly queue: RowQueue;
  /** Virtual time of the team's next turn: the lowest goes first. */
  pass: number;
}
