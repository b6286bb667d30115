import { describe, expect, it } from 'vitest';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { JobRateMeter } from '../packages/customers/JobRateMeter';
import { LiveJob } from '../packages/dispatch/waiting/LiveJob';
import type { PlacementOrder } from '../packages/dispatch/waiting/PlacementOrder';
import { placementOrders } from '../packages/dispatch/waiting/placementOrders';
import type { WaitingStep } from '../packages/dispatch/waiting/WaitingStep';
import type { TaskDemand } from '../packages/jobs/TaskDemand';
import { JobProgress } from '../packages/jobs/JobProgress';
import { JobReplica } from '../packages/jobs/JobReplica';
import { createCustomer } from './helpers/createCustomer';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

describe('shares of customers', () => {
  const clinic = createCustomer('clinic', {}, 2);

  const recordJobs = (meter: JobRateMeter, times: readonly number[], customer = clinic): readonly boolean[] =>
    times.map((atMs) => meter.recordJob(customer, atMs));

  it("cover jobs at the customer's rate, and a burst of one second of it", () => {
    const meter = new JobRateMeter();
    expect(recordJobs(meter, [0, 0, 0, 100, 500, 1000, 1100, 1500])).toEqual([
      false,
      false,
      true,
      true,
      false,
      false,
      true,
      false,
    ]);
  });

  it('do not depend on the jobs of other customers, and cover all jobs without a weight', () => {
    const meter = new JobRateMeter();
    const burst = createCustomer('builders', {}, 1);
    expect(
      recordJobs(meter, Array<number>(50).fill(0), burst).filter((isOverShare) => !isOverShare),
    ).toHaveLength(1);
    expect(recordJobs(meter, [0, 0])).toEqual([false, false]);
    expect(recordJobs(meter, [0, 0, 0], createCustomer('old'))).toEqual([false, false, false]);
  });

  it('are not granted twice because of boxes with different clocks', () => {
    const meter = new JobRateMeter();
    expect(recordJobs(meter, [1000, 1000, 0, 900, 1000, 100, 1000])).toEqual([
      false,
      false,
      true,
      true,
      true,
      true,
      true,
    ]);
  });

  it('are the same for every leader, in whatever order it read the jobs', () => {
    const jobs = Array.from({ length: 40 }, (_, index) => ({
      ...createJobDefinition(index + 1, [createStep()]),
      acceptedAtMs: 1000 + Math.floor(index / 3) * 250,
      customer: clinic,
    }));
    const replayJobs = (known: typeof jobs): readonly boolean[] => {
      const replica = new JobReplica();
      known.forEach((job) => replica.recordDefinition(job));
      const meter = new JobRateMeter();
      return replica
        .listDefinitionsInOrder()
        .map(({ customer, acceptedAtMs }) => meter.recordJob(customer!, acceptedAtMs));
    };
    expect(replayJobs([...jobs].reverse())).toEqual(replayJobs(jobs));
    expect(replayJobs(jobs)).toContain(true);
  });
});

describe('the order of placement', () => {
  const [light, heavy] = [createCustomer('light', {}, 4), createCustomer('heavy', {}, 4)];

  const createWaiting = (
    name: string,
    fields: { objectiveAtMs?: number; isBeyondShare?: boolean; priority?: number; customer?: typeof light },
  ): WaitingStep & { readonly name: string } => {
    const shape = createStep();
    const { customer = light, priority = 0 } = fields;
    const definition = { ...createJobDefinition(1, [shape], { priority }), customer };
    const job = new LiveJob(definition, new JobProgress(definition), 0, fields.isBeyondShare);
    return {
      name,
      job,
      repetition: 0,
      step: 0,
      shape,
      indexes: [0],
      objectiveAtMs: fields.objectiveAtMs ?? 1000,
    };
  };

  const usage = new CustomerUsage();
  usage.recordRun({ customer: heavy.name, charge: { cpuMillis: 8000, memoryMb: 0, accelerators: 0 } });

  const readCapacity = (): TaskDemand => ({ cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 });

  const waiting = [
    createWaiting('batch', { priority: 1 }),
    createWaiting('late', { objectiveAtMs: 10 }),
    createWaiting('beyond', { objectiveAtMs: 600, isBeyondShare: true }),
    createWaiting('heavy', { objectiveAtMs: 700, customer: heavy }),
    createWaiting('light', { objectiveAtMs: 900 }),
  ];

  it.each([
    ['objective', ['beyond', 'heavy', 'light', 'late', 'batch']],
    ['shares', ['heavy', 'light', 'late', 'beyond', 'batch']],
    ['usage', ['beyond', 'light', 'late', 'heavy', 'batch']],
    ['sharesThenUsage', ['light', 'late', 'heavy', 'beyond', 'batch']],
  ] satisfies readonly (readonly [PlacementOrder, readonly string[]])[])('by %s', (order, expected) => {
    const sorted = placementOrders[order].sortSteps(waiting, {
      wallMs: 100,
      usage,
      getTotalCapacity: readCapacity,
    });
    expect(sorted.map((step) => (step as (typeof waiting)[number]).name)).toEqual(expected);
  });
});
