import type { BoxResources } from '../boxes/BoxResources';
import type { LeaderRecord } from './LeaderRecord';

/** Announcement of a leader, which it sends to the other boxes. */
export interface LeaderAnnouncement extends BoxResources {
  /** Its leader record, which it has read back from the log. */
  readonly record: LeaderRecord;
  /** Host and port of its box for requests between boxes. */
  readonly address: string;
}
