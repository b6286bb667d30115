import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { toId } from '../packages/common/toId';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { AdvicePolicyName } from '../packages/dispatch/advice/AdvicePolicyName';
import { SlotUsage } from '../packages/dispatch/advice/SlotUsage';
import { AdviceSimulation } from './helpers/AdviceSimulation';

type Stream = ConstructorParameters<typeof AdviceSimulation>[0]['streams'][number];

const POLICIES: readonly AdvicePolicyName[] = ['asked', 'planned'];
const BACKLOG_MS = 3000;
/** Maximum time until a long-running task with free capacity has started, with a response time of about 1.3 s. */
const MAX_START_MS = 4000;
/** How much longer than the service needs all responses take. */
const RESPONSE_DELAY_MS = 650;
const ADVICE_LONG = { decisionMs: 450, perEndpointMs: 6.5, validityMs: 2500 };
const ADVICE_SHORT = { decisionMs: 40, perEndpointMs: 0.4, validityMs: 2500 };
const SMALL_DEMAND = { cpuMillis: 100, memoryMb: 100, accelerators: 0 };

/** Jobs of the most urgent queue, whose requests need more slots than there are, while they use a small share of the capacity. */
const URGENT: Stream = {
  queue: { name: 'urgent', priority: 0, advice: ADVICE_SHORT },
  step: { count: 3, estimatedMs: 800, demand: SMALL_DEMAND },
  perSecond: 60,
  allowedShare: 0.7,
};
const BATCH: Stream = {
  queue: { name: 'batch', priority: 1, advice: ADVICE_LONG },
  step: { count: 10, estimatedMs: 2000, demand: SMALL_DEMAND },
  perSecond: 15,
  allowedShare: 0.5,
};
const LASTING: Stream = {
  queue: { name: 'lasting', priority: 2, advice: ADVICE_LONG },
  step: { count: 2, estimatedMs: 1e9, isLongRunning: true, demand: SMALL_DEMAND },
  perSecond: 0,
  allowedShare: 0.5,
};

const createSimulation = (
  policy: AdvicePolicyName,
  streams: readonly Stream[],
  boxes: number,
): AdviceSimulation =>
  new AdviceSimulation({
    policy,
    streams,
    endpoints: 40,
    boxes,
    seed: 1,
    getBoxDelayMs: () => RESPONSE_DELAY_MS,
  });

/** Returns the time from the sending of a long-running job to the start of all its tasks, beside a backlog of the other streams. */
const runStartOfLasting = async (simulation: AdviceSimulation, stream: number): Promise<number> => {
  await simulation.runUntil(BACKLOG_MS);
  const job = simulation.sendJob(stream);
  await simulation.runUntil(BACKLOG_MS + 2 * MAX_START_MS);
  return (job.startedAt ?? Infinity) - job.sentAt;
};

describe('a long-running task with free capacity', () => {
  beforeEach(() => {
    vi.useFakeTimers({ now: 0 });
  });

  afterEach(() => {
    vi.clearAllTimers();
    vi.useRealTimers();
  });

  for (const policy of POLICIES) {
    for (const boxes of [2, 6, 12]) {
      it(`gets a slot while a more urgent queue asks for all of ${boxes} slots (${policy})`, async () => {
        const simulation = createSimulation(policy, [URGENT, LASTING], boxes);
        expect(await runStartOfLasting(simulation, 1)).toBeLessThan(MAX_START_MS);
      });
    }

    it(`gets a slot beside backlogs of two more urgent queues (${policy})`, async () => {
      const simulation = createSimulation(policy, [URGENT, BATCH, LASTING], 6);
      expect(await runStartOfLasting(simulation, 2)).toBeLessThan(MAX_START_MS);
    });

    it(`gets a slot beside a backlog of its own queue, whose newer jobs go first (${policy})`, async () => {
      const lasting = { ...LASTING, queue: { ...LASTING.queue, name: 'batch', priority: 1 } };
      const simulation = createSimulation(policy, [{ ...BATCH, perSecond: 25 }, lasting], 12);
      expect(await runStartOfLasting(simulation, 1)).toBeLessThan(MAX_START_MS);
    });
  }

  it.each(POLICIES)('restarts while the demand ahead of it exceeds the capacity (%s)', async (policy) => {
    const demand = { cpuMillis: 8000, memoryMb: 100, accelerators: 0 };
    const step = { count: 30, estimatedMs: 2000, demand };
    const queue = { ...LASTING.queue, advice: ADVICE_SHORT };
    const streams = [
      { ...URGENT, step, perSecond: 30, allowedShare: 0.02 },
      { ...LASTING, queue },
    ];
    const simulation = createSimulation(policy, streams, 60);
    await simulation.runUntil(BACKLOG_MS);
    const { progress } = simulation.sendJob(1);
    for (const index of progress.listTasks(0, 0).keys()) {
      progress.recordRunPlaced({ repetition: 0, step: 0, index }, 1, toId<EndpointIncarnation>('gone'));
      progress.recordRunEnd({ repetition: 0, step: 0, index }, 1, 'interrupted', '');
    }
    await simulation.runUntil(BACKLOG_MS + MAX_START_MS);
    expect(progress.listTasks(0, 0).filter(({ phase }) => phase === 'waiting')).toEqual([]);
  });

  it('leaves half of the slots to the more urgent queue, also when many such tasks wait', async () => {
    const countUrgentStarts = async (lastingCount: number): Promise<number> => {
      vi.setSystemTime(0);
      const simulation = createSimulation('asked', [URGENT, LASTING], 12);
      await simulation.runUntil(BACKLOG_MS);
      Array.from({ length: lastingCount }, () => simulation.sendJob(1));
      await simulation.runUntil(4 * BACKLOG_MS);
      vi.clearAllTimers();
      return simulation.jobs.filter(
        ({ definition, startedAt }) => definition.queue.name === 'urgent' && (startedAt ?? 0) > BACKLOG_MS,
      ).length;
    };
    const usualCount = await countUrgentStarts(0);
    expect(usualCount).toBeGreaterThan(100);
    expect(await countUrgentStarts(60)).toBeGreaterThan(0.45 * usualCount);
  });
});

describe('a less urgent queue', () => {
  beforeEach(() => void vi.useFakeTimers({ now: 0 }));
  afterEach(() => {
    vi.clearAllTimers();
    vi.useRealTimers();
  });

  /** A deployment with a burst of its most urgent queue; `classFloor` is the share of another queue that has to be served on a calm day. */
  const DEPLOYMENT = { boxes: 42, classFloor: 0.49, objectiveMs: 13_800 };
  const BURST: Stream = {
    ...URGENT,
    queue: {
      name: 'urgent',
      priority: 0,
      advice: { decisionMs: 11.7, perEndpointMs: 0.169, validityMs: 2500 },
    },
    perSecond: 190,
  };
  const BESIDE_BURST: Stream = {
    ...BATCH,
    queue: { name: 'batch', priority: 2, advice: { decisionMs: 130, perEndpointMs: 1.82, validityMs: 2500 } },
    perSecond: 21,
    allowedShare: 0.45,
  };

  it.each([20, 100])(
    'is served beside a burst of the most urgent one, also by a leader whose rounds are %i ms apart',
    async (roundIntervalMs) => {
      const simulation = new AdviceSimulation({
        policy: 'asked',
        streams: [BURST, BESIDE_BURST],
        endpoints: 40,
        boxes: DEPLOYMENT.boxes,
        seed: 1,
        getBoxDelayMs: () => 300,
        roundIntervalMs,
      });
      await simulation.runUntil(DEPLOYMENT.objectiveMs);
      const batch = simulation.jobs.filter(({ definition }) => definition.queue.name === 'batch');
      const started = batch.filter(({ startedAt }) => startedAt !== undefined);
      expect(started.length / batch.length).toBeGreaterThanOrEqual(DEPLOYMENT.classFloor);
    },
    60_000,
  );
});

describe('the log line on a shortage of slots', () => {
  const PENDING = { queue: 'urgent', isLong: false, isOverdue: false, expectedResponseMs: 50 };
  const FREE = { all: 1, long: 0, quarantined: 2 };

  it('names the queues that use the slots and those that wait, once in two seconds', () => {
    const usage = new SlotUsage();
    usage.startRound(FREE);
    usage.recordRequest('a', { ...PENDING, requestedAt: 400 });
    usage.recordRequest('b', { ...PENDING, queue: 'batch', isLong: true, isOverdue: true, requestedAt: 700 });
    usage.recordSlotWait('lasting', 999);
    expect(usage.createShortageFields(1000)).toBeUndefined();
    usage.recordSlotWait('lasting', 1000);
    expect(usage.createShortageFields(1000)).toEqual({
      free: 1,
      freeLong: 0,
      quarantined: 2,
      pending: 2,
      pendingByQueue: {
        urgent: { count: 1, long: 0, overdue: 0, oldestMs: 600 },
        batch: { count: 1, long: 1, overdue: 1, oldestMs: 300 },
      },
      waitingByQueue: { lasting: { steps: 2, longestMs: 1000 } },
    });
    expect(usage.createShortageFields(2999)).toBeUndefined();
    expect(usage.createShortageFields(3000)).toBeDefined();
    usage.startRound(FREE);
    expect(usage.createShortageFields(6000)).toBeUndefined();
  });
});
