import type { BoxPower } from '../boxes/BoxPower';
import type { LeaderRecord } from './LeaderRecord';

/** What a leader tells other boxes about itself. */
export interface LeaderIntroduction extends BoxPower {
  /** The record with which it leads. It has read it back from the log, so that it is true when it is told. */
  readonly record: LeaderRecord;
  /** Host and port of its box for calls between boxes. */
  readonly address: string;
}
