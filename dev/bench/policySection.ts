import { formatColumns } from '../../packages/cli/formatColumns';
import { measureReplay } from '../../packages/replay/measureReplay';
import type { Trace } from '../../packages/replay/Trace';
import { policies } from '../../packages/scheduler/policies';
import type { PolicyName } from '../../packages/scheduler/PolicyName';
import { createTrace } from '../traces/createTrace';
import { deployments } from '../traces/deployments';
import type { TraceShape } from '../traces/TraceShape';
import type { BenchSection } from './BenchSection';
import { createLoadShape } from './createLoadShape';

const LOADS = [0.5, 0.8, 0.95, 1.2] as const;
const LENGTH_MS = 120_000;
const POLICIES = (Object.keys(policies) as PolicyName[]).filter((name) => name !== 'naive-scan');
const SERVICE_ROWS = { almaty: 'plan-refresh', gangeticEast: 'tile-proof' } as const;

/** The lower bound of waiting: the service row alone, on one worker with the sum of all capacities. */
const createPooledTrace = (shape: TraceShape, serviceRow: string): Trace => {
  const { cpus, memoryMb, accelerators, slots } = shape.capacity;
  const count = shape.workers;
  const capacity = {
    cpus: cpus * count,
    memoryMb: memoryMb * count,
    accelerators: accelerators * count,
    slots: slots * count,
  };
  const arrivals = shape.arrivals.filter((arrival) => arrival.row === serviceRow);
  return createTrace({ ...shape, workers: 1, capacity, arrivals });
};

const measurePolicy = (shape: TraceShape, policy: PolicyName, serviceRow: string): readonly unknown[] => {
  const result = measureReplay(createTrace(shape), policy);
  const service = result.rows.find((row) => row.row.startsWith(serviceRow));
  const missed = result.rows.reduce((sum, row) => sum + row.late + row.refused, 0);
  const requests = result.rows.reduce((sum, row) => sum + row.requests, 0);
  const { slots, cpus, memoryMb } = result.packing;
  const bottleneck = Math.max(slots, cpus, memoryMb);
  return [
    shape.name,
    policy,
    service?.waitP50Ms.toFixed(1),
    service?.waitP99Ms.toFixed(1),
    ((100 * ((service?.late ?? 0) + (service?.refused ?? 0))) / (service?.requests ?? 1)).toFixed(2),
    ((100 * missed) / requests).toFixed(2),
    result.preemptions,
    bottleneck.toFixed(3),
    result.workersInUse.toFixed(3),
  ];
};

/** Waiting, missed deadlines and packing of each policy at several loads, with the bounds. */
export const policySection: BenchSection = {
  name: 'policies',
  about:
    'one decision core over 33 workers, 120 s of steady load; the bound of waiting is the service row alone, pooled',
  measure: async () => {
    const lines: (readonly unknown[])[] = [];
    for (const deployment of [
      'almaty',
      'gangeticEast',
    ] as const satisfies readonly (keyof typeof deployments)[]) {
      for (const load of LOADS) {
        const shape = createLoadShape({ deployment, load, lengthMs: LENGTH_MS, entries: 1 });
        const serviceRow = SERVICE_ROWS[deployment];
        for (const policy of POLICIES) {
          lines.push(measurePolicy(shape, policy, serviceRow));
        }
        const bound = measureReplay(createPooledTrace(shape, serviceRow), 'stairline').rows[0];
        lines.push([
          shape.name,
          'bound',
          bound?.waitP50Ms.toFixed(1),
          bound?.waitP99Ms.toFixed(1),
          '',
          '',
          '',
          '1.000',
          '',
        ]);
      }
    }
    const heads = [
      'load',
      'policy',
      'service wait p50 ms',
      'p99 ms',
      'service missed %',
      'all missed %',
      'preemptions',
      'bottleneck in use while waiting',
      'workers in use',
    ];
    return formatColumns(heads, lines);
  },
};
