import { resourceMath } from '../jobs/resourceMath';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { CustomerName } from './CustomerName';

/** A run that counts against a customer's limit. */
interface CountedRun {
  readonly customer: CustomerName | undefined;
  /** Resources that count against the limit. */
  readonly charge: TaskDemand;
}

/**
 * Resources that the runs of each customer take on all endpoints. A run counts from its placement until its end is known. The endpoint states record each
 * run, so that reading costs the same however many runs there are.
 */
export class CustomerUsage {
  private readonly usages = new Map<CustomerName, { readonly taken: TaskDemand; readonly runs: number }>();

  /** Adds the resources of a placed run to its customer. Ignored for a run without a customer. */
  recordRun({ customer, charge }: CountedRun): void {
    if (customer !== undefined) {
      const { taken, runs } = this.getUsage(customer);
      this.usages.set(customer, { taken: resourceMath.computeSum(taken, charge), runs: runs + 1 });
    }
  }

  /** Subtracts the resources of an ended run from its customer, which is removed with its last run. */
  recordRunEnd({ customer, charge }: CountedRun): void {
    if (customer === undefined) {
      return;
    }
    const { taken, runs } = this.getUsage(customer);
    if (runs <= 1) {
      this.usages.delete(customer);
    } else {
      this.usages.set(customer, { taken: resourceMath.computeDifference(taken, charge), runs: runs - 1 });
    }
  }

  /** Returns the resources of a customer's runs; zero without any. */
  getUsedResources(customer: CustomerName): TaskDemand {
    return this.getUsage(customer).taken;
  }

  /** Returns the resources and the number of runs of each customer that has runs. */
  getAllUsages(): ReadonlyMap<CustomerName, { readonly taken: TaskDemand; readonly runs: number }> {
    return this.usages;
  }

  private getUsage(customer: CustomerName): { readonly taken: TaskDemand; readonly runs: number } {
    return this.usages.get(customer) ?? { taken: resourceMath.ZERO, runs: 0 };
  }
}
