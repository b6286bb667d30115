import type { CustomerPolicy } from './CustomerPolicy';

/**
 * What a call's key gives it.
 * - `admitted`: for the customer to whom the key belongs; undefined on a queue that is open to all, without a known key.
 * - `refused`: nothing was done, and the same key will not do later.
 * - `stale`: the configuration here is too old to tell; another box may know.
 */
export type CallerCheck =
  | { readonly kind: 'admitted'; readonly customer: CustomerPolicy | undefined }
  | { readonly kind: 'refused'; readonly reason: 'no key' | 'malformed key' | 'unknown key' }
  | { readonly kind: 'stale' };
