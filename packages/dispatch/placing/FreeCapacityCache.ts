import type { JobStep } from '../../jobs/JobStep';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { EndpointState } from '../endpoints/EndpointState';

/** Sums over the endpoints of a list, in thousandths of a core. */
interface CpuTotals {
  readonly free: number;
  readonly capacity: number;
}

/** Cached results for one list of endpoints. */
interface ListResults {
  /** Number of tasks that fit, by demand and limit for an endpoint. */
  readonly fitCounts: Map<string, number>;
  /** Whether a demand fits on any of the endpoints, by demand. */
  readonly fits: Map<string, boolean>;
  cpuTotals: CpuTotals | undefined;
}

/**
 * Results that depend on the free capacity of lists of endpoints, computed once for all waiting steps that need them. The lists are told
 * apart by identity. Has to be cleared after each change of free capacity.
 */
export class FreeCapacityCache {
  private readonly results = new Map<readonly EndpointState[], ListResults>();

  clear(): void {
    this.results.clear();
  }

  /** Returns how many tasks of a step's shape fit on the endpoints; `countTasks` counts those that fit into the free capacity of one. */
  getFitCount(
    endpoints: readonly EndpointState[],
    { demand, isFiller, maxPerEndpoint }: JobStep,
    countTasks: (free: TaskDemand) => number,
  ): number {
    const { fitCounts } = this.getResults(endpoints);
    const key = `${this.toKey(demand)} ${isFiller} ${maxPerEndpoint}`;
    const known = fitCounts.get(key);
    if (known !== undefined) {
      return known;
    }
    const count = endpoints.reduce((sum, endpoint) => sum + countTasks(endpoint.getFreeCapacity()), 0);
    fitCounts.set(key, count);
    return count;
  }

  /** Returns whether a demand fits into the free capacity of any of the endpoints. */
  hasCapacityFor(endpoints: readonly EndpointState[], demand: TaskDemand): boolean {
    const { fits } = this.getResults(endpoints);
    const key = this.toKey(demand);
    const known = fits.get(key);
    if (known !== undefined) {
      return known;
    }
    const isFitting = endpoints.some((endpoint) => endpoint.hasCapacityFor(demand));
    fits.set(key, isFitting);
    return isFitting;
  }

  /** Returns the free and the whole processor capacity of the endpoints. */
  getCpuTotals(endpoints: readonly EndpointState[]): CpuTotals {
    const results = this.getResults(endpoints);
    results.cpuTotals ??= this.computeCpuTotals(endpoints);
    return results.cpuTotals;
  }

  private computeCpuTotals(endpoints: readonly EndpointState[]): CpuTotals {
    let free = 0;
    let capacity = 0;
    for (const endpoint of endpoints) {
      free += endpoint.getFreeCpuMillis();
      capacity += endpoint.getProfile().capacity.cpuMillis;
    }
    return { free, capacity };
  }

  private getResults(endpoints: readonly EndpointState[]): ListResults {
    const known = this.results.get(endpoints);
    if (known !== undefined) {
      return known;
    }
    const created = {
      fitCounts: new Map<string, number>(),
      fits: new Map<string, boolean>(),
      cpuTotals: undefined,
    };
    this.results.set(endpoints, created);
    return created;
  }

  private toKey({ cpuMillis, memoryMb, accelerators }: TaskDemand): string {
    return `${cpuMillis} ${memoryMb} ${accelerators}`;
  }
}
