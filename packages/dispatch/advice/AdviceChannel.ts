import type { AdviceClient } from './AdviceClient';

/** A box over which the leader sends advice requests to the service, one at a time. */
export interface AdviceChannel {
  readonly box: string;
  /** Whether the leader runs on this box. */
  readonly isOwnBox: boolean;
  /** Returns whether the box has shown that it lives, and has not failed to respond since. Always true for the leader's own box. */
  readonly isReachable: () => boolean;
  readonly client: AdviceClient;
}
