import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { AdviceSimulation } from './helpers/AdviceSimulation';

type Stream = ConstructorParameters<typeof AdviceSimulation>[0]['streams'][number];

/** The most urgent queue of a sheet: its objective, deadline, floor and time to recover, with a queue of its own for the rest. */
const SHEET = { targetLatencyMs: 300, stretch: 1.5, deadlineMs: 3028, classFloor: 0.49, recoveryMs: 15_000 };
const LATE_WORTH = 0.2;
const USEFUL_FACTOR = 3;
const WORK_MS = 800;
const OBJECTIVE_MS = SHEET.targetLatencyMs + SHEET.stretch * WORK_MS;
const ADVICE = { decisionMs: 11.7, perEndpointMs: 0.169, validityMs: 2500 };

const createStream = (perSecond: number): Stream => ({
  queue: {
    name: 'urgent',
    priority: 0,
    targetLatencyMs: SHEET.targetLatencyMs,
    stretch: SHEET.stretch,
    advice: ADVICE,
  },
  step: { count: 3, estimatedMs: WORK_MS, demand: { cpuMillis: 9900, memoryMb: 10_000, accelerators: 0 } },
  perSecond,
  allowedShare: 0.7,
});

/** Returns the share of the worth of the jobs sent between two times that was earned. */
const computeEarnedShare = ({ jobs }: AdviceSimulation, from: number, until: number): number => {
  const sent = jobs.filter(({ sentAt }) => sentAt >= from && sentAt < until);
  const earned = sent.map(({ sentAt, endedAt = Infinity }) => {
    const tookMs = endedAt - sentAt;
    return tookMs <= OBJECTIVE_MS ? 1 : tookMs <= USEFUL_FACTOR * OBJECTIVE_MS ? LATE_WORTH : 0;
  });
  return earned.reduce((sum: number, worth) => sum + worth, 0) / sent.length;
};

describe('the most urgent queue', () => {
  beforeEach(() => void vi.useFakeTimers({ now: 0 }));
  afterEach(() => {
    vi.clearAllTimers();
    vi.useRealTimers();
  });

  it.each([1, 2, 3])(
    'is not kept late by a queue that stands after a burst, at a rate that fits the endpoints (seed %i)',
    async (seed) => {
      const simulation = new AdviceSimulation({
        policy: 'asked',
        streams: [createStream(11)],
        endpoints: 6,
        boxes: 12,
        seed,
        getBoxDelayMs: () => 30,
      });
      await simulation.runUntil(2000);
      Array.from({ length: 60 }, () => simulation.sendJob(0));
      await simulation.runUntil(2000 + SHEET.recoveryMs + USEFUL_FACTOR * OBJECTIVE_MS);
      const earned = computeEarnedShare(simulation, 2001, 2000 + SHEET.recoveryMs);
      expect(earned).toBeGreaterThanOrEqual(SHEET.classFloor);
    },
  );

  it.each([1, 2, 3])(
    'gets its advice within its deadline from a leader that processes responses late (seed %i)',
    async (seed) => {
      const simulation = new AdviceSimulation({
        policy: 'asked',
        streams: [createStream(15)],
        endpoints: 30,
        boxes: 4,
        seed,
        getBoxDelayMs: () => 350,
      });
      await simulation.runUntil(SHEET.recoveryMs);
      const waits = simulation.jobs
        .filter(({ sentAt }) => sentAt < SHEET.recoveryMs - SHEET.deadlineMs)
        .map(({ sentAt, startedAt = Infinity }) => startedAt - sentAt);
      expect(Math.max(...waits)).toBeLessThan(SHEET.deadlineMs);
    },
  );
});
