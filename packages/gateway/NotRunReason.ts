import type { RefusalReason } from '../scheduler/RefusalReason';

/** Reason of a `not-run` response. */
export type NotRunReason =
  RefusalReason | 'badRequest' | 'bodyTooLarge' | 'claimUnavailable' | 'callerLeft' | 'overloaded';
