import type { AdviceClient } from './AdviceClient';

/** A box that sends advice requests to the service, one at a time. */
export interface AdviceChannel {
  readonly box: string;
  /** The leader runs on this box. */
  readonly isOwn: boolean;
  readonly client: AdviceClient;
}
