import type { CallerCheckResult } from '../customers/CallerCheckResult';
import type { CallerKey } from '../customers/CallerKey';
import { checkCaller } from '../customers/checkCaller';
import type { QueueRoute } from './QueueRoute';
import type { QueueRouter } from './QueueRouter';

interface CallerGateOptions {
  readonly router: QueueRouter;
  /** False if the settings require a fresh configuration and this box may have missed the revocation of keys. */
  readonly isFresh: () => boolean;
  /** Called when a call was rejected. */
  readonly handleRejected: (queue: string, reason: string) => void;
}

/** Authorizes calls: checks by the key of a call whether it may use a queue, and for which customer. */
export class CallerAuthorizer {
  constructor(private readonly options: CallerGateOptions) {}

  checkCall({ queue, isOpen }: QueueRoute, key: CallerKey): CallerCheckResult {
    const { router, isFresh, handleRejected: handleRefused } = this.options;
    const customers = router.getCustomers();
    const check = checkCaller({ key, isOpen, customers, isConfigFresh: isFresh() });
    if (check.kind !== 'admitted') {
      handleRefused(queue.name, check.kind === 'refused' ? check.reason : 'configuration too old');
    }
    return check;
  }
}
