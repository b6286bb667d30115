import type { CallerCheck } from '../customers/CallerCheck';
import type { CallerKey } from '../customers/CallerKey';
import { checkCaller } from '../customers/checkCaller';
import type { QueueRoute } from './QueueRoute';
import type { QueueRouter } from './QueueRouter';

interface CallerGateOptions {
  readonly router: QueueRouter;
  /** False while keys may have been taken away that this box has not heard of, and the settings ask for strictness. */
  readonly isFresh: () => boolean;
  /** A call was turned away. */
  readonly handleRefused: (queue: string, reason: string) => void;
}

/** Decides by a call's key whether it may use a queue, and for which customer. */
export class CallerGate {
  constructor(private readonly options: CallerGateOptions) {}

  checkCall({ queue, isOpen }: QueueRoute, key: CallerKey): CallerCheck {
    const { router, isFresh, handleRefused } = this.options;
    const customers = router.readCustomers();
    const check = checkCaller({ key, isOpen, customers, isFresh: isFresh() });
    if (check.kind !== 'admitted') {
      handleRefused(queue.name, check.kind === 'refused' ? check.reason : 'configuration too old');
    }
    return check;
  }
}
