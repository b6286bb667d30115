import type { PeerMessage } from './PeerMessage';
import type { TableAnswer } from './TableAnswer';

/** What a process does with its peers' calls. */
export interface PeerHandlers {
  readonly handleHeartbeat: (message: PeerMessage) => PeerMessage;
  readonly readTable: (after: number) => TableAnswer;
}
