import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';
import { LeaseSimulation } from './helpers/LeaseSimulation';
import { runPlannedStop } from './helpers/runPlannedStop';
import { startVirtualTime } from './helpers/startVirtualTime';

const BOXES = 4;
const ENDPOINTS = 4;
const TASKS = 6;
const JOB = {
  ...createJobDefinition(1, [createStep({ count: TASKS, isLongRunning: true })]),
  spec: '1000000',
};
const TASK_NAMES = Array.from({ length: TASKS }, (_none, index) => `${JOB.id}.0.0.${index}`);
const SEEDS = Number(process.env['LEASE_SEEDS'] ?? 6);
const SETTLED_MS = 12_000;
/** Time from the restart of the endpoints until all tasks run there again. */
const PLACED_MS = 1500;
const STEP_MS = 10;
/** Longer than the longest lease that an endpoint grants. */
const CALM_MS = 20_000;
const NAMES = [
  ...Array.from({ length: BOXES }, (_none, index) => `box-${index}`),
  ...Array.from({ length: ENDPOINTS }, (_none, index) => `i-${index}`),
];

/** What happens to the leader of a simulation. */
type LeaderLoss = (simulation: LeaseSimulation) => Promise<void>;

const runUntilLed = async (simulation: LeaseSimulation): Promise<void> => {
  while (simulation.findLeader() === undefined) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
};

const LEADER_LOSSES: Readonly<Record<string, LeaderLoss>> = {
  'stops by plan': runPlannedStop,
  'is killed': (simulation) => Promise.resolve(simulation.stopBox(simulation.findLeader()!)),
  'stops by plan, and so does the next one': async (simulation) => {
    await runPlannedStop(simulation);
    await runUntilLed(simulation);
    await vi.advanceTimersByTimeAsync(100);
    await runPlannedStop(simulation);
  },
  'is killed, and so is the next one as soon as it leads': async (simulation) => {
    simulation.stopBox(simulation.findLeader()!);
    await runUntilLed(simulation);
    simulation.stopBox(simulation.findLeader()!);
  },
  'stops by plan, and all other boxes start anew': async (simulation) => {
    const others = simulation.boxes.map((_box, index) => index).filter((i) => i !== simulation.findLeader());
    others.forEach((index) => simulation.stopBox(index));
    await runPlannedStop(simulation);
    others.forEach((index) => simulation.startBox(index));
  },
};

describe('a lease that a call to the earlier incarnation of an endpoint gave to the next one', () => {
  let simulation: LeaseSimulation;

  beforeEach(startVirtualTime);

  afterEach(() => {
    simulation.stop();
    vi.useRealTimers();
  });

  /** All endpoints restart; after `placedMs` the leader is lost and one endpoint cut off, at once or once the next leader has heard it. */
  const runLoss = async (
    seed: number,
    loss: LeaderLoss,
    placedMs: number,
    heardMs: number | undefined,
  ): Promise<readonly string[]> => {
    simulation = new LeaseSimulation({ seed, boxes: BOXES, endpoints: ENDPOINTS, job: JOB });
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    simulation.endpoints.forEach((_endpoint, index) => simulation.startNextIncarnation(index));
    await vi.advanceTimersByTimeAsync(placedMs);
    const cutOff = simulation.endpoints.find(({ process }) => process!.getStatus().running.length > 0)?.id;
    const others = NAMES.filter((name) => name !== cutOff);
    const links = others.flatMap((name) => [`${name}>${cutOff}`, `${cutOff}>${name}`]);
    if (heardMs === undefined) {
      simulation.startCut(links);
      await loss(simulation);
    } else {
      await loss(simulation);
      await runUntilLed(simulation);
      await vi.advanceTimersByTimeAsync(heardMs);
      simulation.startCut(links);
    }
    await vi.advanceTimersByTimeAsync(CALM_MS);
    const idle = TASK_NAMES.filter((task) => !simulation.runChecker.isRunning(task));
    const violations = simulation.runChecker.getViolations();
    simulation.stop();
    return [...violations, ...idle.map((task) => `${task} does not run`)];
  };

  it.each(
    Object.entries(LEADER_LOSSES).flatMap(([name, loss]) => [
      [name, 'before the next one hears it', loss, undefined] as const,
      [name, 'once the next one has heard it', loss, 300] as const,
    ]),
  )(
    'is waited for when the leader that saw the restart %s and the endpoint is cut off %s',
    async (_name, _heard, loss, heardMs) => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const violations = await runLoss(seed, loss, PLACED_MS, heardMs);
        expect({ seed, violations }).toEqual({ seed, violations: [] });
      }
    },
  );

  it('lets no two runs overlap, whenever after the restart the leader is killed', async () => {
    for (let placedMs = 10; placedMs <= 800; placedMs += 10) {
      const violations = await runLoss(placedMs, LEADER_LOSSES['is killed']!, placedMs, undefined);
      expect({ placedMs, violations }).toEqual({ placedMs, violations: [] });
    }
  });
});
