import type { BoxId } from '../common/BoxId';
import type { HallId } from '../common/HallId';

/** Where an entry box listens, as the settings name it. */
export interface PeerAddress {
  readonly box: BoxId;
  readonly hall: HallId;
  /** Host and port of its peers' listener. */
  readonly peers: string;
  /** Host and port of its operators' listener. */
  readonly operators: string;
}
