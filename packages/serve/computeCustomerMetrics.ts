import type { CustomerDirectory } from '../customers/CustomerDirectory';
import type { CustomerMetrics } from '../customers/CustomerMetrics';
import type { Dispatcher } from '../dispatch/Dispatcher';
import { resourceMath } from '../jobs/resourceMath';

/** Computes the resource usage, limit, and running and waiting tasks of each customer at a wall clock time in milliseconds. */
export const computeCustomerMetrics = (
  customers: CustomerDirectory,
  dispatcher: Dispatcher,
  wallMs: number,
): readonly CustomerMetrics[] => {
  const usage = dispatcher.getCustomerUsage().getAllUsages();
  const waiting = dispatcher.countWaitingTasks(wallMs);
  return [...customers.listCustomers()].map(({ name, limit }) => ({
    customer: name,
    limit,
    usedResources: usage.get(name)?.taken ?? resourceMath.ZERO,
    runCount: usage.get(name)?.runs ?? 0,
    waitingTaskCount: waiting.get(name) ?? 0,
  }));
};
