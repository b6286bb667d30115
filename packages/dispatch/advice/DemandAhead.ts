import type { EndpointState } from '../endpoints/EndpointState';
import type { ServiceName } from '../../jobs/ServiceName';
import type { WaitingStep } from '../waiting/WaitingStep';

/**
 * Maximum ratio of the demand ahead to the capacity that is free or could be freed by preemption, for a step that is expected to get some
 * of it. It is above 1 since the steps ahead may not use all endpoints.
 */
const MAX_PREEMPTION_RATIO = 2;
/** Maximum ratio of the demand ahead to the free capacity, for a step that cannot preempt; higher since runs end while it waits. */
const MAX_FREE_RATIO = 5;

/**
 * Processor demand of the steps earlier in the placement order of a round. It keeps the steps at the end of a long backlog from requesting
 * tickets that would expire unused.
 */
export class DemandAhead {
  /** Processor demand, in thousandths of a core, of the steps recorded in this round, by service. */
  private readonly cpuDemands = new Map<ServiceName, number>();
  /** Processor demand ahead of the step recorded last, in thousandths of a core. */
  private cpuDemandAhead = 0;

  /** Begins a round of placement without demand. */
  startRound(): void {
    this.cpuDemands.clear();
    this.cpuDemandAhead = 0;
  }

  /** Records the next step in placement order, with the number of its tasks that lack tickets, as demand ahead of later ones. */
  recordStep({ job, shape }: WaitingStep, missing: number): void {
    const { service } = job.getQueue();
    this.cpuDemandAhead = this.cpuDemands.get(service) ?? 0;
    this.cpuDemands.set(service, this.cpuDemandAhead + missing * shape.demand.cpuMillis);
  }

  /**
   * Returns whether the demand ahead of the step recorded last exceeds a multiple of the capacity that the step could use: the free one of
   * the eligible endpoints and, if it can preempt, that of less urgent runs.
   */
  isExceedingCapacity(
    { job }: WaitingStep,
    eligible: readonly EndpointState[],
    canPreempt: boolean,
  ): boolean {
    if (this.cpuDemandAhead === 0) {
      return false;
    }
    const { priority } = job.getQueue();
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
