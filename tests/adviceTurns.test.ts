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
import { AdviceLoad } from './helpers/AdviceLoad';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const ENDPOINTS = 80;
const BOXES = 12;
const SEEDS = [1, 2, 3];
const LOAD_MS = 30_000;
/** Jobs are counted that came after the first and before the last so many milliseconds. */
const WARM_UP_MS = 4000;
const WIND_DOWN_MS = 6000;
/** A caller of urgent work notices a start that comes later. */
const URGENT_START_MS = 100;

/** Urgent, wide together, and patient work that takes nine tenths of all processors in the mean; room is short in bursts. */
const STREAMS = [
  {
    queue: { name: 'urgent', priority: 0, advice: { decisionMs: 12, perEndpointMs: 0.2, validityMs: 2500 } },
    step: { count: 3, estimatedMs: 800, demand: { cpuMillis: 10_000, memoryMb: 8000, accelerators: 0 } },
    perSecond: 38,
    share: 0.7,
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
    share: 0.35,
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
    share: 0.45,
  },
];

/** So often it is soon enough to find out that the service is back. */
const TRY_MS = 100;
/** Once the service is back, what waited has been asked about and started after so long. */
const BACK_MS = 1000;

type BoxDelay = (box: number, now: number) => number;

/** Answers of some boxes take longer. */
const readUsualDelayMs: BoxDelay = (box) => (box % 7 === 6 ? 90 : 15);

/** Half of the boxes, the leader's own among them, answer nothing for 3 s, with questions under way. */
const readFailingDelayMs: BoxDelay = (box, now) =>
  now >= 10_000 && now < 13_000 && box % 2 === 0 ? Infinity : readUsualDelayMs(box, now);

const toQuantile = (values: readonly number[], share: number): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length * share)] ?? NaN;

const toMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const toTotal = (loads: readonly AdviceLoad[], read: (load: AdviceLoad) => number): number =>
  loads.reduce((sum, load) => sum + read(load), 0);

type LoadOptions = ConstructorParameters<typeof AdviceLoad>[0];

const createLoad = (turns: AdvicePolicyName, options: Partial<LoadOptions> = {}): AdviceLoad => {
  vi.setSystemTime(0);
  return new AdviceLoad({
    turns,
    streams: STREAMS,
    endpoints: ENDPOINTS,
    boxes: BOXES,
    seed: SEEDS[0]!,
    readBoxDelayMs: readUsualDelayMs,
    ...options,
  });
};

/** The same load with each seed. */
const startLoads = async (turns: AdvicePolicyName): Promise<readonly AdviceLoad[]> => {
  const loads: AdviceLoad[] = [];
  for (const seed of SEEDS) {
    const load = createLoad(turns, { seed });
    await load.startUntil(LOAD_MS);
    vi.clearAllTimers();
    loads.push(load);
  }
  return loads;
};

/**
 * For how long jobs of a queue that came between two times had to wait until all their tasks were started; those that still wait count
 * until the end.
 */
const readWaitsIn = (
  loads: readonly AdviceLoad[],
  queue: string,
  from: number,
  until: number,
): readonly number[] =>
  loads
    .flatMap(({ jobs }) => jobs)
    .filter(({ definition }) => definition.queue.name === queue)
    .filter(({ sentAt }) => sentAt >= from && sentAt < until)
    .map(({ startedAt, sentAt }) => (startedAt ?? LOAD_MS) - sentAt);

const readWaits = (loads: readonly AdviceLoad[], queue: string): readonly number[] =>
  readWaitsIn(loads, queue, WARM_UP_MS, LOAD_MS - WIND_DOWN_MS);

const readServedMs = (loads: readonly AdviceLoad[]): number => toTotal(loads, ({ servedMs }) => servedMs);

/** The work for one question a step, about as many endpoints as it needs by the share of refusals. */
const readNeedMs = (loads: readonly AdviceLoad[]): number =>
  toTotal(loads, ({ jobs }) =>
    jobs.reduce((sum, { definition }) => {
      const { queue, share } = STREAMS.find((stream) => stream.queue.name === definition.queue.name)!;
      const { decisionMs, perEndpointMs } = queue.advice;
      return sum + decisionMs + (perEndpointMs * definition.steps[0]!.count) / share;
    }, 0),
  );

/** Questions for steps of which something was known. */
const readRepeats = (loads: readonly AdviceLoad[]): number =>
  toTotal(loads, ({ counts }) => (counts.get('questionsMore') ?? 0) + (counts.get('questionsAgain') ?? 0));

const readEndCount = (loads: readonly AdviceLoad[]): number =>
  toTotal(loads, ({ jobs }) => jobs.filter(({ endedAt }) => endedAt !== undefined).length);

const readBadTickets = (loads: readonly AdviceLoad[]): number =>
  toTotal(loads, ({ badTickets }) => badTickets);

describe('turns at the advice service while room is short', () => {
  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });

  afterEach(() => {
    vi.clearAllTimers();
    vi.useRealTimers();
  });

  it('go to little more than one question a step when planned, while starts come no later', async () => {
    const asked = await startLoads('asked');
    const planned = await startLoads('planned');
    // Of the questions beyond the first of a step half are to be spared, and of the work what exceeds the need by half.
    expect(readRepeats(planned)).toBeLessThan(0.5 * readRepeats(asked));
    expect(readServedMs(planned)).toBeLessThan(1.5 * readNeedMs(planned));
    expect(readServedMs(asked)).toBeGreaterThan(1.5 * readNeedMs(asked));
    expect(readEndCount(planned)).toBeGreaterThan(0.99 * readEndCount(asked));
    const [urgentAsked, urgent] = [readWaits(asked, 'urgent'), readWaits(planned, 'urgent')];
    expect(toQuantile(urgent, 0.95)).toBeLessThanOrEqual(toQuantile(urgentAsked, 0.95));
    expect(toQuantile(urgent, 0.95)).toBeLessThan(URGENT_START_MS);
    const [gangsAsked, gangs] = [readWaits(asked, 'gangs'), readWaits(planned, 'gangs')];
    expect(toQuantile(gangs, 0.5)).toBeLessThan(toQuantile(gangsAsked, 0.5));
    // The widest wait for room, which is a matter of chance: a tenth is within it.
    expect(toMean(gangs)).toBeLessThan(1.1 * toMean(gangsAsked));
    expect(toMean(readWaits(planned, 'batch'))).toBeLessThan(1.1 * toMean(readWaits(asked, 'batch')));
    expect(readBadTickets([...asked, ...planned])).toBe(0);
  });

  it('go to other boxes while half of them answer nothing, and urgent starts hardly wait', async () => {
    const load = createLoad('planned', { readBoxDelayMs: readFailingDelayMs });
    await load.startUntil(LOAD_MS);
    const waits = readWaitsIn([load], 'urgent', 10_000, 13_000);
    expect(toQuantile(waits, 0.95)).toBeLessThan(URGENT_START_MS);
    // Of a silent box an answer is awaited for 1.2 s; whoever has asked through one is not to wait for half of that.
    expect(Math.max(...waits)).toBeLessThan(600);
    expect(load.badTickets).toBe(0);
  });

  it('are tried by one box at a time while the service refuses all, and taken at once when it is back', async () => {
    const refusal = { from: 10_000, until: 12_000 };
    const load = createLoad('planned', { refusal });
    await load.startUntil(LOAD_MS);
    const refused = load.asked.filter((at) => at >= refusal.from && at < refusal.until);
    const outageMs = refusal.until - refusal.from;
    expect(refused.length).toBeLessThan(2 * BOXES + outageMs / TRY_MS);
    const waits = readWaitsIn([load], 'urgent', refusal.from, refusal.until);
    expect(Math.max(...waits)).toBeLessThan(outageMs + BACK_MS);
  });

  it('are asked for anew by the next leader, which knows no answers', async () => {
    const load = createLoad('planned');
    await load.startUntil(10_000);
    load.startNextLeader();
    await load.startUntil(LOAD_MS);
    const before = load.jobs.filter(({ sentAt }) => sentAt < 10_000);
    expect(before.filter(({ startedAt }) => startedAt === undefined)).toEqual([]);
    expect(load.badTickets).toBe(0);
  });
});

describe('the size of a question', () => {
  const OFFERS = Array.from({ length: 200 }, () => ({ tasks: 1, chance: 0.35 }));

  it('grows until another round is unlikely, the more the dearer a round is beside an endpoint', () => {
    const dear = chooseRequestSize(OFFERS, 10, { roundMs: 500, perEndpointMs: 7, maxCandidates: 100 });
    const cheap = chooseRequestSize(OFFERS, 10, { roundMs: 20, perEndpointMs: 7, maxCandidates: 100 });
    // Ten of 35 in a hundred are 29 in the mean.
    expect(cheap).toBe(28);
    expect(dear).toBeGreaterThan(36);
    expect(dear).toBeLessThan(50);
  });

  it('is bounded, and no greater than what there is', () => {
    expect(chooseRequestSize(OFFERS, 90, { roundMs: 500, perEndpointMs: 7, maxCandidates: 100 })).toBe(100);
    expect(
      chooseRequestSize(OFFERS.slice(0, 7), 10, { roundMs: 500, perEndpointMs: 7, maxCandidates: 100 }),
    ).toBe(7);
  });
});

describe('boxes kept for short questions', () => {
  it('are a quarter for a new leader, then as many as its short questions use with some to spare, half at most', () => {
    const turns = new ShortRequestReserve();
    expect(turns.computeReserved(40, 0)).toBe(10);
    expect(turns.computeReserved(40, 3000)).toBe(1);
    // 50 questions a second of 80 ms each are four at once.
    for (let now = 3000; now < 13_000; now += 20) {
      turns.recordRequest(80, now);
    }
    expect(turns.computeReserved(40, 13_000)).toBe(8);
    expect(turns.computeReserved(10, 13_000)).toBe(5);
    expect(turns.computeReserved(40, 33_000)).toBe(1);
  });

  it('are one of two, and none where there is only one', () => {
    const turns = new ShortRequestReserve();
    expect(turns.computeReserved(2, 0)).toBe(1);
    expect(turns.computeReserved(1, 0)).toBe(0);
  });
});

describe('a backlog of gangs', () => {
  it('asks for those that may find room, not for those behind them', () => {
    const books = Array.from(
      { length: 10 },
      (_none, number) => new EndpointState(createProfile(`i-${number}`), 0, new CustomerUsage()),
    );
    const ahead = new DemandAhead();
    const readAsking = (): number => {
      ahead.startRound();
      return Array.from({ length: 100 }, (_none, number) => {
        const step = createGang(number + 1);
        ahead.recordStep(step, step.indexes.length);
        return ahead.isExceedingCapacity(step, books, true);
      }).filter((isTaken) => !isTaken).length;
    };
    // Ten endpoints of four cores hold five gangs of eight cores; of those ahead some may not run there.
    expect(readAsking()).toBe(11);
    expect(readAsking()).toBe(11);
  });

  const createGang = (number: number): WaitingStep => {
    const shape = createStep({ count: 8, isGang: true });
    const definition = createJobDefinition(number, [shape]);
    const job = new LiveJob(definition, new JobProgress(definition), 0);
    return { job, time: 0, step: 0, shape, indexes: [0, 1, 2, 3, 4, 5, 6, 7], objectiveAtMs: 0 };
  };
});
