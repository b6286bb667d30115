import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { chooseRequestSize } from '../packages/dispatch/advice/chooseRequestSize';
import { DemandAhead } from '../packages/dispatch/advice/DemandAhead';
import { ShortRequestReserve } from '../packages/dispatch/advice/ShortRequestReserve';
import type { AdvicePolicyName } from '../packages/dispatch/advice/AdvicePolicyName';
import { EndpointState } from '../packages/dispatch/endpoints/EndpointState';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { LiveJob } from '../packages/dispatch/waiting/LiveJob';
import type { WaitingStep } from '../packages/dispatch/waiting/WaitingStep';
import { JobProgress } from '../packages/jobs/JobProgress';
import { AdviceSimulation } from './helpers/AdviceSimulation';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const ENDPOINTS = 80;
const BOXES = 12;
const SEEDS = [1, 2, 3];
const END_MS = 30_000;
/** Jobs sent in the first `WARM_UP_MS` and the last `WIND_DOWN_MS` are not counted. */
const WARM_UP_MS = 4000;
const WIND_DOWN_MS = 6000;
/** Maximum wait of urgent jobs that callers do not notice. */
const MAX_URGENT_WAIT_MS = 100;

/** Urgent jobs, gangs and batch jobs that together use nine tenths of the processors on average, and all of them in bursts. */
const STREAMS = [
  {
    queue: { name: 'urgent', priority: 0, advice: { decisionMs: 12, perEndpointMs: 0.2, validityMs: 2500 } },
    step: { count: 3, estimatedMs: 800, demand: { cpuMillis: 10_000, memoryMb: 8000, accelerators: 0 } },
    perSecond: 38,
    allowedShare: 0.7,
  },
  {
    queue: {
      name: 'gangs',
      priority: 1,
      stretch: 2.2,
      targetLatencyMs: 1000,
      advice: { decisionMs: 500, perEndpointMs: 7, validityMs: 2500 },
    },
    step: {
      count: 12,
      estimatedMs: 4000,
      isGang: true,
      demand: { cpuMillis: 18_000, memoryMb: 16_000, accelerators: 0 },
    },
    perSecond: 2,
    allowedShare: 0.35,
  },
  {
    queue: {
      name: 'batch',
      priority: 2,
      stretch: 4,
      targetLatencyMs: 3000,
      advice: { decisionMs: 110, perEndpointMs: 1.6, validityMs: 2500 },
    },
    step: {
      count: 20,
      estimatedMs: 2500,
      isCheckpointing: true,
      demand: { cpuMillis: 7000, memoryMb: 10_000, accelerators: 0 },
    },
    perSecond: 6,
    allowedShare: 0.45,
  },
];

/** Maximum interval between probes of the service during its outage. */
const PROBE_INTERVAL_MS = 100;
/** Maximum time from the end of an outage until the waiting jobs have started. */
const RECOVERY_MS = 1000;

type DelayFunction = (box: number, now: number) => number;

/** One box in seven is slower than the others. */
const getNormalDelayMs: DelayFunction = (box) => (box % 7 === 6 ? 90 : 15);

/** Half of the boxes, including the leader's, do not respond for 3 s. */
const getFailingDelayMs: DelayFunction = (box, now) =>
  now >= 10_000 && now < 13_000 && box % 2 === 0 ? Infinity : getNormalDelayMs(box, now);

const computeQuantile = (values: readonly number[], share: number): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length * share)] ?? NaN;

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const computeTotal = (
  simulations: readonly AdviceSimulation[],
  getValue: (simulation: AdviceSimulation) => number,
): number => simulations.reduce((sum, simulation) => sum + getValue(simulation), 0);

type SimulationOptions = ConstructorParameters<typeof AdviceSimulation>[0];

const createSimulation = (
  policy: AdvicePolicyName,
  options: Partial<SimulationOptions> = {},
): AdviceSimulation => {
  vi.setSystemTime(0);
  return new AdviceSimulation({
    policy,
    streams: STREAMS,
    endpoints: ENDPOINTS,
    boxes: BOXES,
    seed: SEEDS[0]!,
    getBoxDelayMs: getNormalDelayMs,
    ...options,
  });
};

/** Runs a simulation with each seed. */
const runSimulations = async (policy: AdvicePolicyName): Promise<readonly AdviceSimulation[]> => {
  const simulations: AdviceSimulation[] = [];
  for (const seed of SEEDS) {
    const simulation = createSimulation(policy, { seed });
    await simulation.runUntil(END_MS);
    vi.clearAllTimers();
    simulations.push(simulation);
  }
  return simulations;
};

/**
 * Returns for how long a queue's jobs sent between two times had waiting tasks, in milliseconds; jobs that still have some count until
 * the end.
 */
const listWaitsBetween = (
  simulations: readonly AdviceSimulation[],
  queue: string,
  from: number,
  until: number,
): readonly number[] =>
  simulations
    .flatMap(({ jobs }) => jobs)
    .filter(({ definition }) => definition.queue.name === queue)
    .filter(({ sentAt }) => sentAt >= from && sentAt < until)
    .map(({ startedAt, sentAt }) => (startedAt ?? END_MS) - sentAt);

const listWaits = (simulations: readonly AdviceSimulation[], queue: string): readonly number[] =>
  listWaitsBetween(simulations, queue, WARM_UP_MS, END_MS - WIND_DOWN_MS);

const computeServedMs = (simulations: readonly AdviceSimulation[]): number =>
  computeTotal(simulations, ({ servedMs }) => servedMs);

/** Returns the time of the service for one request a step, with as many candidates as needed for the allowed share. */
const computeNeededMs = (simulations: readonly AdviceSimulation[]): number =>
  computeTotal(simulations, ({ jobs }) =>
    jobs.reduce((sum, { definition }) => {
      const { queue, allowedShare } = STREAMS.find((stream) => stream.queue.name === definition.queue.name)!;
      const { decisionMs, perEndpointMs } = queue.advice;
      return sum + decisionMs + (perEndpointMs * definition.steps[0]!.count) / allowedShare;
    }, 0),
  );

/** Returns the number of requests for steps that had advice already. */
const countRepeats = (simulations: readonly AdviceSimulation[]): number =>
  computeTotal(
    simulations,
    ({ counters }) => (counters.get('questionsMore') ?? 0) + (counters.get('questionsAgain') ?? 0),
  );

const countEndedJobs = (simulations: readonly AdviceSimulation[]): number =>
  computeTotal(simulations, ({ jobs }) => jobs.filter(({ endedAt }) => endedAt !== undefined).length);

const countInvalidTickets = (simulations: readonly AdviceSimulation[]): number =>
  computeTotal(simulations, ({ invalidTickets }) => invalidTickets);

describe('advice requests while capacity is scarce', () => {
  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });

  afterEach(() => {
    vi.clearAllTimers();
    vi.useRealTimers();
  });

  it('are hardly more than one for each step under the planned policy, which does not delay starts', async () => {
    const asked = await runSimulations('asked');
    const planned = await runSimulations('planned');
    // Saves half of the repeated requests, and keeps the time of the service within 1.5 times what is needed.
    expect(countRepeats(planned)).toBeLessThan(0.5 * countRepeats(asked));
    expect(computeServedMs(planned)).toBeLessThan(1.5 * computeNeededMs(planned));
    expect(computeServedMs(asked)).toBeGreaterThan(1.5 * computeNeededMs(asked));
    expect(countEndedJobs(planned)).toBeGreaterThan(0.99 * countEndedJobs(asked));
    const [urgentAsked, urgent] = [listWaits(asked, 'urgent'), listWaits(planned, 'urgent')];
    expect(computeQuantile(urgent, 0.95)).toBeLessThanOrEqual(computeQuantile(urgentAsked, 0.95));
    expect(computeQuantile(urgent, 0.95)).toBeLessThan(MAX_URGENT_WAIT_MS);
    const [gangsAsked, gangs] = [listWaits(asked, 'gangs'), listWaits(planned, 'gangs')];
    expect(computeQuantile(gangs, 0.5)).toBeLessThan(computeQuantile(gangsAsked, 0.5));
    // The waits of the widest jobs vary by chance, so a tenth more is accepted.
    expect(computeMean(gangs)).toBeLessThan(1.1 * computeMean(gangsAsked));
    expect(computeMean(listWaits(planned, 'batch'))).toBeLessThan(
      1.1 * computeMean(listWaits(asked, 'batch')),
    );
    expect(countInvalidTickets([...asked, ...planned])).toBe(0);
  });

  it('are hedged over other boxes while half of them do not respond, with little delay for urgent jobs', async () => {
    const simulation = createSimulation('planned', { getBoxDelayMs: getFailingDelayMs });
    await simulation.runUntil(END_MS);
    const waits = listWaitsBetween([simulation], 'urgent', 10_000, 13_000);
    expect(computeQuantile(waits, 0.95)).toBeLessThan(MAX_URGENT_WAIT_MS);
    // The timeout of a request is 1.2 s; hedging keeps the longest wait below half of it.
    expect(Math.max(...waits)).toBeLessThan(600);
    expect(simulation.invalidTickets).toBe(0);
  });

  it('probe the service over one box at a time during its outage, and resume as soon as it has recovered', async () => {
    const outage = { from: 10_000, until: 12_000 };
    const simulation = createSimulation('planned', { outage });
    await simulation.runUntil(END_MS);
    const refused = simulation.requestTimes.filter((at) => at >= outage.from && at < outage.until);
    const outageMs = outage.until - outage.from;
    expect(refused.length).toBeLessThan(2 * BOXES + outageMs / PROBE_INTERVAL_MS);
    const waits = listWaitsBetween([simulation], 'urgent', outage.from, outage.until);
    expect(Math.max(...waits)).toBeLessThan(outageMs + RECOVERY_MS);
  });

  it('are repeated by the next leader, which has no advice', async () => {
    const simulation = createSimulation('planned');
    await simulation.runUntil(10_000);
    simulation.startNextLeader();
    await simulation.runUntil(END_MS);
    const before = simulation.jobs.filter(({ sentAt }) => sentAt < 10_000);
    expect(before.filter(({ startedAt }) => startedAt === undefined)).toEqual([]);
    expect(simulation.invalidTickets).toBe(0);
  });
});

describe('the size of a request', () => {
  const CANDIDATES = Array.from({ length: 200 }, () => ({ taskCount: 1, usableChance: 0.35 }));

  it('grows until another request is unlikely, the more the higher its fixed cost is', () => {
    const expensive = chooseRequestSize(CANDIDATES, 10, {
      fixedMs: 500,
      perEndpointMs: 7,
      maxCandidates: 100,
    });
    const cheap = chooseRequestSize(CANDIDATES, 10, { fixedMs: 20, perEndpointMs: 7, maxCandidates: 100 });
    // The 29th candidate would bring the mean above ten tasks.
    expect(cheap).toBe(28);
    expect(expensive).toBeGreaterThan(36);
    expect(expensive).toBeLessThan(50);
  });

  it('is at most the maximum and the number of candidates', () => {
    expect(chooseRequestSize(CANDIDATES, 90, { fixedMs: 500, perEndpointMs: 7, maxCandidates: 100 })).toBe(
      100,
    );
    expect(
      chooseRequestSize(CANDIDATES.slice(0, 7), 10, { fixedMs: 500, perEndpointMs: 7, maxCandidates: 100 }),
    ).toBe(7);
  });
});

describe('the reserve for short requests', () => {
  it('is a quarter of the boxes for a new leader, then follows the number of short requests with a margin, up to one half', () => {
    const reserve = new ShortRequestReserve();
    expect(reserve.computeReservedCount(40, 0)).toBe(10);
    expect(reserve.computeReservedCount(40, 3000)).toBe(1);
    // 50 requests a second of 80 ms each are four concurrent ones.
    for (let now = 3000; now < 13_000; now += 20) {
      reserve.recordRequest(80, now);
    }
    expect(reserve.computeReservedCount(40, 13_000)).toBe(8);
    expect(reserve.computeReservedCount(10, 13_000)).toBe(5);
    expect(reserve.computeReservedCount(40, 33_000)).toBe(1);
  });

  it('is one of two boxes, and none of one', () => {
    const reserve = new ShortRequestReserve();
    expect(reserve.computeReservedCount(2, 0)).toBe(1);
    expect(reserve.computeReservedCount(1, 0)).toBe(0);
  });
});

describe('the demand ahead in a backlog of gangs', () => {
  it('permits requests only for the gangs that may find capacity', () => {
    const endpoints = Array.from(
      { length: 10 },
      (_none, number) => new EndpointState(createProfile(`i-${number}`), 0, new CustomerUsage()),
    );
    const ahead = new DemandAhead();
    const countPermitted = (): number => {
      ahead.startRound();
      return Array.from({ length: 100 }, (_none, number) => {
        const step = createGang(number + 1);
        ahead.recordStep(step, step.indexes.length);
        return ahead.isExceedingCapacity(step, endpoints, true);
      }).filter((isExceeding) => !isExceeding).length;
    };
    // Ten endpoints of four cores hold five gangs of eight cores. With a factor of 2, ten gangs may be ahead.
    expect(countPermitted()).toBe(11);
    expect(countPermitted()).toBe(11);
  });

  const createGang = (number: number): WaitingStep => {
    const shape = createStep({ count: 8, isGang: true });
    const definition = createJobDefinition(number, [shape]);
    const job = new LiveJob(definition, new JobProgress(definition), 0);
    return { job, repetition: 0, step: 0, shape, indexes: [0, 1, 2, 3, 4, 5, 6, 7], objectiveAtMs: 0 };
  };
});
