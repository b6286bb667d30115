import type { CustomerDirectory } from '../customers/CustomerDirectory';
import type { CustomerFigures } from '../customers/CustomerFigures';
import type { Dispatcher } from '../dispatch/Dispatcher';
import { demandSums } from '../jobs/demandSums';

/** What runs, waits and may run of each customer, as the leader's dispatcher sees it at a wall clock time. */
export const readCustomerFigures = (
  customers: CustomerDirectory,
  dispatcher: Dispatcher,
  wallMs: number,
): readonly CustomerFigures[] => {
  const usage = dispatcher.readUsage().readAll();
  const waiting = dispatcher.readWaitingCounts(wallMs);
  return [...customers.readCustomers()].map(({ name, limit }) => ({
    name,
    limit,
    taken: usage.get(name)?.taken ?? demandSums.NOTHING,
    runs: usage.get(name)?.runs ?? 0,
    waiting: waiting.get(name) ?? 0,
  }));
};
