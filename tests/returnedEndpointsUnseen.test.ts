import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { waitForDelay } from '../packages/common/waitForDelay';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';
import { LeaseSimulation } from './helpers/LeaseSimulation';
import { runPlannedStop } from './helpers/runPlannedStop';
import { startVirtualTime } from './helpers/startVirtualTime';

const SEEDS = [1, 2, 3, 4];
const SETTLED_MS = 12_000;
const STEP_MS = 10;
/** Longer than the longest lease that an endpoint grants. */
const CALM_MS = 16_000;
const BOXES = 3;
const ENDPOINTS = 4;
const NAMES = [
  ...Array.from({ length: BOXES }, (_none, index) => `box-${index}`),
  ...Array.from({ length: ENDPOINTS }, (_none, index) => `i-${index}`),
];

const createJob = (count: number): ConstructorParameters<typeof LeaseSimulation>[0]['job'] => ({
  ...createJobDefinition(1, [createStep({ count, isLongRunning: true })]),
  spec: '1000000',
});

const listLinks = (id: string): readonly string[] =>
  NAMES.filter((name) => name !== id).flatMap((name) => [`${name}>${id}`, `${id}>${name}`]);

describe('a restart of an endpoint that the leader has not seen whole', () => {
  let simulation: LeaseSimulation;

  beforeEach(startVirtualTime);

  afterEach(() => {
    simulation.stop();
    vi.useRealTimers();
  });

  /**
   * An endpoint without runs restarts out of reach, while its record names the next incarnation. It is reached again, gets the tasks of all others, which
   * are lost, and is cut off; one of the others is there again by then.
   */
  const runUnseenRestart = async (
    seed: number,
    unreachedMs: number,
    isHandedOver: boolean,
  ): Promise<readonly string[]> => {
    simulation = new LeaseSimulation({ seed, boxes: BOXES, endpoints: ENDPOINTS, job: createJob(2) });
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    const countRuns = (index: number): number =>
      simulation.endpoints[index]!.process?.getStatus().running.length ?? 0;
    const indexes = simulation.endpoints.map((_endpoint, index) => index);
    const idle = indexes.find((index) => countRuns(index) === 0)!;
    const others = indexes.filter((index) => index !== idle);
    others.forEach((index) => simulation.stopEndpoint(index));
    await vi.advanceTimersByTimeAsync(2300);
    const links = listLinks(simulation.endpoints[idle]!.id);
    simulation.startCut(links);
    simulation.startNextIncarnation(idle);
    await vi.advanceTimersByTimeAsync(unreachedMs);
    if (isHandedOver) {
      await runPlannedStop(simulation);
    }
    simulation.stopCut(links);
    for (let waitedMs = 0; countRuns(idle) < 2 && waitedMs < 8000; waitedMs += STEP_MS) {
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
    expect(countRuns(idle)).toBe(2);
    await vi.advanceTimersByTimeAsync(100);
    simulation.startCut(links);
    simulation.startNextIncarnation(others[0]!);
    await vi.advanceTimersByTimeAsync(CALM_MS);
    return simulation.runChecker.getViolations();
  };

  it.each(SEEDS)(
    'lets no two runs overlap when the earlier incarnation was forgotten before the next one responded (seed %i)',
    async (seed) => {
      expect(await runUnseenRestart(seed, 1300, false)).toEqual([]);
    },
  );

  it.each(SEEDS)(
    'lets no two runs overlap when the leader hands over with nothing but the record of the next one (seed %i)',
    async (seed) => {
      expect(await runUnseenRestart(seed, 500, true)).toEqual([]);
    },
  );

  it.each(SEEDS.flatMap((seed) => [600, 1200, 2000].map((killedMs) => [seed, killedMs] as const)))(
    'gets no tasks while the record that names its lease is not durable (seed %i, leader killed after %i ms)',
    async (seed, killedMs) => {
      simulation = new LeaseSimulation({ seed, boxes: BOXES, endpoints: ENDPOINTS, job: createJob(6) });
      await vi.advanceTimersByTimeAsync(SETTLED_MS);
      const { log } = simulation;
      const append = log.append.bind(log);
      let isStatesTopicOut = true;
      log.append = async (request) => {
        if (isStatesTopicOut && request.topic === 'keyed.states') {
          await waitForDelay(request.timeoutMs);
          return { ok: false, error: { kind: 'unknown', detail: 'out' } };
        }
        return append(request);
      };
      const leader = simulation.findLeader()!;
      simulation.endpoints.forEach((_endpoint, index) => simulation.startNextIncarnation(index));
      await vi.advanceTimersByTimeAsync(killedMs);
      const cutOff = simulation.endpoints.find(({ process }) => process!.getStatus().running.length > 0)?.id;
      simulation.startCut(listLinks(cutOff ?? 'i-0'));
      simulation.stopBox(leader);
      isStatesTopicOut = false;
      await vi.advanceTimersByTimeAsync(CALM_MS);
      expect(simulation.runChecker.getViolations()).toEqual([]);
    },
  );
});
