import type { BoxResources } from '../boxes/BoxResources';

/** Another box that may send calls for a leader. */
export interface RelayBox extends BoxResources {
  readonly box: string;
  /** Host and port for requests between boxes. */
  readonly address: string;
}
