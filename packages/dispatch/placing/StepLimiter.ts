import { customerLimits } from '../../customers/customerLimits';
import type { CustomerName } from '../../customers/CustomerName';
import type { CustomerUsage } from '../../customers/CustomerUsage';
import { resourceMath } from '../../jobs/resourceMath';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from '../waiting/WaitingStep';

/** Cuts steps down to the tasks that their customer's limit lets start. */
export class StepLimiter {
  constructor(
    private readonly usage: CustomerUsage,
    /** Returns the configured limit; undefined while no configuration is known, or when it doesn't have the customer. */
    private readonly getLimit: (customer: CustomerName) => TaskDemand | undefined,
  ) {}

  /**
   * Returns the part of a step that may start beside all runs that may be active; undefined for none. A gang starts as a whole or
   * not at all; a step that is wider than the limit runs in waves.
   */
  computeStartable(step: WaitingStep): WaitingStep | undefined {
    const { customer } = step.job.definition;
    return customer === undefined ? step : this.computePart(step, this.usage.getUsedResources(customer.name));
  }

  /** Returns the largest part of a step that may run at once when nothing else of the customer does; undefined for none. */
  computeMaxStartable(step: WaitingStep): WaitingStep | undefined {
    return this.computePart(step, resourceMath.ZERO);
  }

  private computePart(step: WaitingStep, used: TaskDemand): WaitingStep | undefined {
    const { customer } = step.job.definition;
    if (customer === undefined) {
      return step;
    }
    const { indexes, shape } = step;
    const limit = this.getLimit(customer.name) ?? customer.limit;
    const count = customerLimits.countFittingTasks(limit, used, shape.demand);
    if (count >= indexes.length) {
      return step;
    }
    return count === 0 || shape.isGang ? undefined : { ...step, indexes: indexes.slice(0, count) };
  }
}
