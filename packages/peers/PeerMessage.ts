import type { BoxId } from '../common/BoxId';
import type { HallId } from '../common/HallId';
import type { HybridTime } from '../common/HybridTime';
import type { ProcessId } from '../common/ProcessId';
import type { HeartbeatMessage } from '../ownership/HeartbeatMessage';

/** What two entry processes tell each other in a heartbeat and in its answer. */
export interface PeerMessage {
  readonly protocol: number;
  readonly box: BoxId;
  readonly hall: HallId;
  readonly process: ProcessId;
  readonly stamp: HybridTime;
  /** The last table offset in force. */
  readonly tableOffset: number;
  /** For each row, how many more tasks could start at once. */
  readonly room: Readonly<Record<string, number>>;
  /** False while the box is stopping: nothing is sent on to it. */
  readonly isTaking: boolean;
  /** Between boxes of one hall only. */
  readonly ownership?: HeartbeatMessage;
}
