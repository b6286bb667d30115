import type { CustomerName } from '../customers/CustomerName';
import type { CustomerUsage } from '../customers/CustomerUsage';
import { resourceMath } from '../jobs/resourceMath';
import type { JobId } from '../jobs/JobId';
import type { TaskDemand } from '../jobs/TaskDemand';
import type { LoadSnapshot } from '../load/LoadSnapshot';
import { computeDominantShare } from '../load/computeDominantShare';
import type { EndpointState } from './endpoints/EndpointState';
import type { LiveJob } from './waiting/LiveJob';
import { toReservedDemand } from '../jobs/toReservedDemand';

interface LoadInput {
  readonly endpoints: Iterable<EndpointState>;
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly usage: CustomerUsage;
  /** Total capacity of all schedulable endpoints. */
  readonly capacity: TaskDemand;
  readonly wallMs: number;
}

type QueueLoad = {
  -readonly [Field in keyof LoadSnapshot['queues'][number]]: LoadSnapshot['queues'][number][Field];
};
type CustomerLoad = LoadSnapshot['customers'] extends ReadonlyMap<CustomerName, infer Row> ? Row : never;

/** Computes a snapshot of waiting and running work, by queue and by customer with waiting work. Iterates over all jobs and runs. */
export const computeLoad = ({ endpoints, jobs, usage, capacity, wallMs }: LoadInput): LoadSnapshot => {
  const queues = new Map<string, QueueLoad>();
  const customers = new Map<CustomerName, CustomerLoad>();
  let freeCpuMillis = 0;

  const getQueueLoad = (queue: string): QueueLoad => {
    const row = queues.get(queue) ?? { queue, waitingTasks: 0, waitingCpuMillis: 0, runningCpuMillis: 0 };
    queues.set(queue, row);
    return row;
  };

  for (const endpoint of endpoints) {
    if (endpoint.isSchedulable()) {
      freeCpuMillis += endpoint.getFreeCpuMillis();
    }
    for (const { job, demand } of endpoint.getRuns()) {
      const definition = jobs.get(job)?.definition;
      if (definition !== undefined) {
        getQueueLoad(definition.queue.name).runningCpuMillis += demand.cpuMillis;
      }
    }
  }
  for (const job of jobs.values()) {
    const steps = job.progress.isEnded() ? [] : job.getWaitingSteps(wallMs);
    const { customer, queue } = job.definition;
    for (const step of steps) {
      const waitingTasks = job.progress.countWaitingTasks(step.repetition, step.step);
      const demand = resourceMath.computeProduct(toReservedDemand(step.shape), waitingTasks);
      const row = getQueueLoad(queue.name);
      row.waitingTasks += waitingTasks;
      row.waitingCpuMillis += demand.cpuMillis;
      if (customer !== undefined) {
        const earlier = customers.get(customer.name);
        customers.set(customer.name, {
          weight: customer.weight,
          waitingTasks: (earlier?.waitingTasks ?? 0) + waitingTasks,
          waitingDemand: resourceMath.computeSum(earlier?.waitingDemand ?? resourceMath.ZERO, demand),
          usedResources: usage.getUsedResources(customer.name),
        });
      }
    }
  }
  const otherCustomersShare = [...usage.getAllUsages()]
    .filter(([name]) => !customers.has(name))
    .reduce((sum, [, { taken }]) => sum + computeDominantShare(taken, capacity), 0);
  return {
    capacity,
    freeCpuMillis,
    queues: [...queues.values()],
    customers,
    otherCustomersShare,
  };
};
