import type { AdviceClient } from './AdviceClient';

/** A box that can ask the advice service, one question at a time. */
export interface AdviceChannel {
  readonly box: string;
  readonly isOwn: boolean;
  readonly client: AdviceClient;
}
