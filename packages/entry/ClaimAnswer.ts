import type { ProcessId } from '../common/ProcessId';

/** Who holds an idempotency key. */
export type ClaimAnswer =
  | { readonly kind: 'claimed'; readonly claimId: string }
  | { readonly kind: 'taken'; readonly process: ProcessId }
  /** The log did not answer: nothing was claimed that will be used. */
  | { readonly kind: 'unavailable'; readonly reason: string };
