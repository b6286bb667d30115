import { customerLimits } from '../../customers/customerLimits';
import type { CustomerName } from '../../customers/CustomerName';
import type { CustomerUsage } from '../../customers/CustomerUsage';
import { resourceMath } from '../../jobs/resourceMath';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Reduces waiting steps to the tasks that may start within the resource limit of their customer. */
export class StepLimiter {
  constructor(
    private readonly customerUsage: CustomerUsage,
    /** Returns the configured limit of a customer; undefined if none is known: then the limit in the job definition applies. */
    private readonly getCustomerLimit: (customer: CustomerName) => TaskDemand | undefined,
  ) {}

  /**
   * Returns the step with only as many of its tasks as fit into the limit beside the customer's current usage; undefined when none
   * fits, or not all members of a gang. A step without a customer is returned whole.
   */
  computeStartablePart(step: WaitingStep): WaitingStep | undefined {
    const { customer } = step.job.definition;
    return customer === undefined
      ? step
      : this.computePartWithinLimit(step, this.customerUsage.getUsedResources(customer.name));
  }

  /** Returns the same as `computeStartablePart`, but as if the customer had no other usage. */
  computeMaxStartablePart(step: WaitingStep): WaitingStep | undefined {
    return this.computePartWithinLimit(step, resourceMath.ZERO);
  }

  private computePartWithinLimit(step: WaitingStep, used: TaskDemand): WaitingStep | undefined {
    const { customer } = step.job.definition;
    if (customer === undefined) {
      return step;
    }
    const { indexes, shape } = step;
    const limit = this.getCustomerLimit(customer.name) ?? customer.limit;
    const count = customerLimits.countFittingTasks(limit, used, shape.demand);
    if (count >= indexes.length) {
      return step;
    }
    return count === 0 || shape.isGang ? undefined : { ...step, indexes: indexes.slice(0, count) };
  }
}
