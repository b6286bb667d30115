import type { AdviceClient } from './AdviceClient';

/** A box over which the leader sends advice requests to the service, one at a time. */
export interface AdviceChannel {
  readonly box: string;
  /** Whether the leader runs on this box. */
  readonly isOwnBox: boolean;
  readonly client: AdviceClient;
}
