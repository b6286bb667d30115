import { customerLimits } from '../../customers/customerLimits';
import type { CustomerName } from '../../customers/CustomerName';
import type { CustomerUsage } from '../../customers/CustomerUsage';
import { resourceMath } from '../../jobs/resourceMath';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { WaitingStep } from '../waiting/WaitingStep';

/** How much of a step its customer's limit lets start. Changes nothing; a question costs the same however much runs. */
export class StepLimiter {
  constructor(
    private readonly usage: CustomerUsage,
    /** The limit in force; undefined while no configuration is known, or it does not know the customer. */
    private readonly readLimit: (customer: CustomerName) => TaskDemand | undefined,
  ) {}

  /**
   * The part of a step that may start beside everything that may be running now; undefined when that is nothing. A gang may start
   * whole or not at all; a step that is wider than the limit runs in waves.
   */
  computeStartable(step: WaitingStep): WaitingStep | undefined {
    const { customer } = step.job.definition;
    return customer === undefined ? step : this.toPart(step, this.usage.getUsed(customer.name));
  }

  /** The part of a step that may ever run at once. What runs now may have ended by the time at which the step is ready. */
  computeMaxStartable(step: WaitingStep): WaitingStep | undefined {
    return this.toPart(step, resourceMath.NOTHING);
  }

  private toPart(step: WaitingStep, taken: TaskDemand): WaitingStep | undefined {
    const { customer } = step.job.definition;
    if (customer === undefined) {
      return step;
    }
    const { indexes, shape } = step;
    const limit = this.readLimit(customer.name) ?? customer.limit;
    const count = customerLimits.measureFitCount(limit, taken, shape.demand);
    if (count >= indexes.length) {
      return step;
    }
    return count === 0 || shape.isGang ? undefined : { ...step, indexes: indexes.slice(0, count) };
  }
}
