import type { RefusalReason } from '../scheduler/RefusalReason';

/** Every reason for which a caller is told `not-run`. No path says it for a reason that is not listed here. */
export type NotRunReason =
  RefusalReason | 'badRequest' | 'bodyTooLarge' | 'claimUnavailable' | 'callerLeft' | 'overloaded';
