import type { EndpointState } from '../endpoints/EndpointState';
import type { ServiceName } from '../../jobs/ServiceName';
import type { WaitingStep } from '../waiting/WaitingStep';

/**
 * Ratio of demand ahead to capacity, including capacity that preemption could free, above which a step is not expected to get any. It is
 * above 1 since the steps ahead may not use all endpoints.
 */
const MAX_PREEMPTION_RATIO = 2;
/** The same ratio for steps that cannot preempt; higher since ending runs free more capacity while tickets are valid. */
const MAX_FREE_RATIO = 5;

/**
 * Demand of the steps earlier in the placement order of a round. It keeps the steps at the end of a long backlog from using up the
 * request slots for tickets that would expire unused.
 */
export class DemandAhead {
  /** Processor demand, in thousandths of a core, of the steps recorded in this round, by service. */
  private readonly cpuDemands = new Map<ServiceName, number>();
  /** Demand ahead of the step recorded last. */
  private cpuDemandAhead = 0;

  startRound(): void {
    this.cpuDemands.clear();
  }

  /** Records the next step in placement order. */
  recordStep({ job, shape }: WaitingStep, missing: number): void {
    const { service } = job.definition.queue;
    this.cpuDemandAhead = this.cpuDemands.get(service) ?? 0;
    this.cpuDemands.set(service, this.cpuDemandAhead + missing * shape.demand.cpuMillis);
  }

  /** Returns whether the demand ahead of the step recorded last is likely to take all the capacity that the step could use. */
  isExceedingCapacity(
    { job }: WaitingStep,
    eligible: readonly EndpointState[],
    canPreempt: boolean,
  ): boolean {
    if (this.cpuDemandAhead === 0) {
      return false;
    }
    const { priority } = job.definition.queue;
    let capacity = 0;
    for (const endpoint of eligible) {
      capacity += endpoint.getFreeCpuMillis();
      if (canPreempt) {
        for (const run of endpoint.getRuns()) {
          capacity += run.priority > priority ? run.demand.cpuMillis : 0;
        }
      }
    }
    return this.cpuDemandAhead > capacity * (canPreempt ? MAX_PREEMPTION_RATIO : MAX_FREE_RATIO);
  }
}
