import type { CustomerPolicy } from './CustomerPolicy';

/**
 * Result of checking the API key of a request.
 * - `admitted`: the request may use the queue, for the customer that holds the key; undefined for a request without a known key to a
 *   queue that is open to all.
 * - `refused`: the key is missing or wrong, and a retry with it will not succeed.
 * - `stale`: the configuration of this box is too old to decide; another box may be able to.
 */
export type CallerCheckResult =
  | { readonly kind: 'admitted'; readonly customer: CustomerPolicy | undefined }
  | { readonly kind: 'refused'; readonly reason: 'no key' | 'malformed key' | 'unknown key' }
  | { readonly kind: 'stale' };
