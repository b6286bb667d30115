import type { BoxClient } from '../boxes/BoxClient';

/** Whether and how a box can reach the leader. */
export type LeaderContact =
  /** The current leader is this box. */
  | { readonly kind: 'self' }
  /** No leader is known. */
  | { readonly kind: 'unknown' }
  /** The leader's box has not announced its address. */
  | { readonly kind: 'noAddress'; readonly box: string }
  /** The leader's box has announced its address. */
  | { readonly kind: 'known'; readonly box: string; readonly client: BoxClient };
