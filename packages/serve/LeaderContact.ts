import type { BoxClient } from '../boxes/BoxClient';

/** Whether and how a box can reach the leader. */
export type LeaderContact =
  /** This box leads. */
  | { readonly kind: 'self' }
  /** No leader record has been read. */
  | { readonly kind: 'unknown' }
  /** The leader's box has not announced its address. */
  | { readonly kind: 'noAddress'; readonly box: string }
  | { readonly kind: 'known'; readonly box: string; readonly client: BoxClient };
