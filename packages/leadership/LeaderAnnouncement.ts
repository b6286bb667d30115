import type { BoxResources } from '../boxes/BoxResources';
import type { LeaderRecord } from './LeaderRecord';

/** Message by which a new leader makes itself known to the other boxes. */
export interface LeaderAnnouncement extends BoxResources {
  /** Record of the new leader, which that leader has read back from the log. */
  readonly record: LeaderRecord;
  /** Host and port of the new leader's box for requests between boxes. */
  readonly address: string;
}
