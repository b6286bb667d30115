import { resourceMath } from '../jobs/resourceMath';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';

/** A run as far as a customer's limit is concerned. */
interface CountedRun {
  readonly customer: CustomerName | undefined;
  /** What counts against the limit. */
  readonly charge: TaskDemand;
}

/**
 * What each customer has taken over all endpoints: everything that may be running counts, from the choice of an endpoint until the
 * end is known. The books of endpoints tell it of each run, so a reading costs the same however many runs there are.
 */
export class CustomerUsage {
  private readonly sums = new Map<CustomerName, { readonly taken: TaskDemand; readonly runs: number }>();

  recordRun({ customer, charge }: CountedRun): void {
    if (customer !== undefined) {
      const { taken, runs } = this.readSum(customer);
      this.sums.set(customer, { taken: resourceMath.toSum(taken, charge), runs: runs + 1 });
    }
  }

  recordRunEnd({ customer, charge }: CountedRun): void {
    if (customer === undefined) {
      return;
    }
    const { taken, runs } = this.readSum(customer);
    if (runs <= 1) {
      this.sums.delete(customer);
    } else {
      this.sums.set(customer, { taken: resourceMath.toDifference(taken, charge), runs: runs - 1 });
    }
  }

  getUsed(customer: CustomerName): TaskDemand {
    return this.readSum(customer).taken;
  }

  /** Customers with runs, with what these take. */
  getAll(): ReadonlyMap<CustomerName, { readonly taken: TaskDemand; readonly runs: number }> {
    return this.sums;
  }

  private readSum(customer: CustomerName): { readonly taken: TaskDemand; readonly runs: number } {
    return this.sums.get(customer) ?? { taken: resourceMath.NOTHING, runs: 0 };
  }
}
