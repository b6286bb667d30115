import type { BoxResources } from '../boxes/BoxResources';
import type { LeaderRecord } from './LeaderRecord';

/** Message by which a new leader makes itself known to the other boxes. */
export interface LeaderAnnouncement extends BoxResources {
  /** Its leader record, which it has read back from the log. */
  readonly record: LeaderRecord;
  /** Host and port of its box for requests between boxes. */
  readonly address: string;
}
