import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import type { Random } from '../packages/common/Random';
import { waitForDelay } from '../packages/common/waitForDelay';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';
import { LeaseSimulation } from './helpers/LeaseSimulation';
import { startVirtualTime } from './helpers/startVirtualTime';
import type { SimulatedIncarnation } from './helpers/SimulatedIncarnation';

const BOXES = 4;
const ENDPOINTS = 4;
const TASKS = 6;
const JOB = {
  ...createJobDefinition(1, [createStep({ count: TASKS, isLongRunning: true })]),
  spec: '1000000',
};
const TASK_NAMES = Array.from({ length: TASKS }, (_none, index) => `${JOB.id}.0.0.${index}`);
const SETTLED_MS = 8000;
const STEP_MS = 100;
/** Time from the last run of a lasting task within which it has to start again. */
const MAX_RESTART_MS = 9000;
const BRIEF_GRACE_MS = 2500;
const MAX_LEASE_MS = 4370;
const SEEDS = Number(process.env['LEASE_SEEDS'] ?? 25);
const MUTATED_SEEDS = 60;
const MAX_MS_PER_SEED = 10_000;
const LOST_RESPONSE_SEEDS = 20;
/** Time from the timeout of the first attempt of an append to the third attempt: two delays, and the latency and timeout of the second. */
const SECOND_RETRY_AFTER_MS = 60 + 4 + 700 + 60;

const create = (seed: number, fields = {}): LeaseSimulation =>
  new LeaseSimulation({ seed, boxes: BOXES, endpoints: ENDPOINTS, job: JOB, ...fields });

const listLogLinks = (boxes: readonly number[]): readonly string[] =>
  boxes.flatMap((index) => [`box-${index}>log`, `log>box-${index}`]);

const ALL_BOXES = Array.from({ length: BOXES }, (_none, index) => index);

/** Returns the longest time in which a task had no run, while the time is advanced. */
const runAndMeasureGap = async (simulation: LeaseSimulation, forMs: number): Promise<number> => {
  const idleSince = new Map<string, number>();
  let longestMs = 0;
  for (const until = performance.now() + forMs; performance.now() < until;) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
    for (const task of TASK_NAMES) {
      if (simulation.runChecker.isRunning(task)) {
        idleSince.delete(task);
      } else {
        const since = idleSince.get(task) ?? performance.now();
        idleSince.set(task, since);
        longestMs = Math.max(longestMs, performance.now() - since);
      }
    }
  }
  return longestMs;
};

const isRunningTasks = (process: SimulatedIncarnation | undefined): boolean =>
  (process?.getStatus().running.length ?? 0) > 0;

const checkAllRunning = (simulation: LeaseSimulation): void =>
  expect(TASK_NAMES.filter((task) => !simulation.runChecker.isRunning(task))).toEqual([]);

type Trouble = (simulation: LeaseSimulation, random: Random, forMs: number) => Promise<void>;

const chooseSome = <Item>(items: readonly Item[], random: Random): readonly Item[] => {
  const share = random();
  return items.filter(() => random() < share);
};

const listPairs = (left: readonly string[], right: readonly string[]): readonly string[] =>
  left.flatMap((from) => right.filter((to) => to !== from).map((to) => `${from}>${to}`));

const BOX_NAMES = ALL_BOXES.map((index) => `box-${index}`);
const ENDPOINT_IDS = Array.from({ length: ENDPOINTS }, (_none, index) => `i-${index}`);

const TROUBLES: Readonly<Record<string, Trouble>> = {
  logOutForAll: (simulation, _random, forMs) => simulation.runCut(listLogLinks(ALL_BOXES), forMs),
  logOutForSome: (simulation, random, forMs) =>
    simulation.runCut(listLogLinks(chooseSome(ALL_BOXES, random)), forMs),
  logLinksCutOneWay: (simulation, random, forMs) =>
    simulation.runCut(chooseSome(listLogLinks(ALL_BOXES), random), forMs),
  boxLinksCutOneWay: (simulation, random, forMs) =>
    simulation.runCut(chooseSome(listPairs(BOX_NAMES, BOX_NAMES), random), forMs),
  endpointLinksCutOneWay: (simulation, random, forMs) =>
    simulation.runCut(
      chooseSome([...listPairs(BOX_NAMES, ENDPOINT_IDS), ...listPairs(ENDPOINT_IDS, BOX_NAMES)], random),
      forMs,
    ),
  /** The leader, another box and some endpoints are cut off together from the log and everything else. */
  zoneCut: (simulation, random, forMs) => {
    const leader = simulation.findLeader() ?? 0;
    const inside = [`box-${leader}`, `box-${(leader + 1) % BOXES}`, ...chooseSome(ENDPOINT_IDS, random)];
    const outside = [...BOX_NAMES, ...ENDPOINT_IDS, 'log'].filter((name) => !inside.includes(name));
    return simulation.runCut([...listPairs(inside, outside), ...listPairs(outside, inside)], forMs);
  },
  leaderRestart: async (simulation, random) => {
    const leader = simulation.findLeader();
    if (leader !== undefined) {
      simulation.stopBox(leader);
      await waitForDelay(200 + random() * 1000);
      simulation.startBox(leader);
    }
  },
  leaderReplaced: async (simulation) => {
    const leader = simulation.findLeader();
    if (leader !== undefined) {
      simulation.stopBox(leader);
      await waitForDelay(1000);
      simulation.startBox(leader, true);
    }
  },
  otherBoxRestart: async (simulation, random) => {
    const index = Math.floor(random() * BOXES);
    if (index !== simulation.findLeader() && simulation.boxes[index] !== undefined) {
      simulation.stopBox(index);
      await waitForDelay(200 + random() * 1000);
      simulation.startBox(index);
    }
  },
};

const TROUBLES_PER_RUN = 6;
const TROUBLES_FOR_MS = 24_000;
const MAX_TROUBLE_MS = 11_000;
/** Longer than any lease of an earlier leader. */
const CALM_MS = 22_000;

/** Starts troubles at random times, each for a random time, so that they overlap. */
const startTroubles = (simulation: LeaseSimulation, random: Random): void => {
  const troubles = Object.values(TROUBLES);
  for (let count = 0; count < TROUBLES_PER_RUN; count += 1) {
    const trouble = troubles[Math.floor(random() * troubles.length)]!;
    const [delayMs, forMs] = [random() * TROUBLES_FOR_MS, random() * MAX_TROUBLE_MS];
    setTimeout(() => void trouble(simulation, random, forMs), delayMs);
  }
};

describe('lasting tasks, on virtual time', () => {
  let simulation: LeaseSimulation;

  beforeEach(startVirtualTime);

  afterEach(() => {
    simulation.stop();
    vi.useRealTimers();
  });

  it.each([1, 2, 3, 4, 5])(
    'start again in time when the machine of the leader and an endpoint are lost together (seed %i)',
    async (seed) => {
      simulation = create(seed);
      await vi.advanceTimersByTimeAsync(SETTLED_MS);
      checkAllRunning(simulation);
      const leader = simulation.findLeader()!;
      simulation.stopBox(leader);
      simulation.stopEndpoint(simulation.endpoints.findIndex(({ process }) => isRunningTasks(process)));
      await vi.advanceTimersByTimeAsync(1000);
      simulation.startBox(leader, true);
      expect(await runAndMeasureGap(simulation, 2 * MAX_RESTART_MS)).toBeLessThan(MAX_RESTART_MS);
      checkAllRunning(simulation);
      expect(simulation.runChecker.getViolations()).toEqual([]);
    },
  );

  /** Runs a simulation with random troubles, and returns the violations. */
  const runTroubles = async (seed: number, fields = {}): Promise<readonly string[]> => {
    simulation = create(seed, fields);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    startTroubles(simulation, createRandom(seed));
    await vi.advanceTimersByTimeAsync(TROUBLES_FOR_MS + MAX_TROUBLE_MS + CALM_MS);
    const violations = [...simulation.runChecker.getViolations()];
    const idle = TASK_NAMES.filter((task) => !simulation.runChecker.isRunning(task));
    simulation.stop();
    return [...violations, ...idle.map((task) => `${task} does not run`)];
  };

  it(
    'never run twice at once, and all run in the end, whatever links are cut and whichever leaders follow',
    async () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        expect({ seed, violations: await runTroubles(seed) }).toEqual({ seed, violations: [] });
      }
    },
    SEEDS * MAX_MS_PER_SEED,
  );

  it.each([
    ['does not wait for earlier leases', (_endAt: number, electedAt: number) => electedAt],
    [
      'does not ask witnesses',
      (endAt: number, electedAt: number) => Math.min(endAt, electedAt + BRIEF_GRACE_MS + MAX_LEASE_MS),
    ],
  ])(
    'would run twice under a leader that %s',
    async (_name, toEarlierLeasesEnd) => {
      let found = 0;
      for (let seed = 1; seed <= MUTATED_SEEDS && found === 0; seed += 1) {
        const violations = await runTroubles(seed, { toEarlierLeasesEnd });
        found += violations.filter((violation) => violation.includes('beside')).length;
      }
      expect(found).toBeGreaterThan(0);
    },
    60_000,
  );

  it.each([4500, 9000])('run on while the log is out for all boxes for %i ms', async (forMs) => {
    simulation = create(1);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    void simulation.runCut(listLogLinks(ALL_BOXES), forMs);
    await vi.advanceTimersByTimeAsync(forMs + SETTLED_MS);
    expect(simulation.runChecker.countAllStarts()).toBe(TASKS);
    checkAllRunning(simulation);
  });

  it('run on while the log is out for all boxes and one witness is lost', async () => {
    simulation = create(1);
    await vi.advanceTimersByTimeAsync(SETTLED_MS);
    const other = simulation.boxes.find((_box, index) => index !== simulation.findLeader())!;
    const witness = other.leadership.getLeaderRecord()!.witnesses![0]!;
    void simulation.runCut(listLogLinks(ALL_BOXES), 9000);
    await vi.advanceTimersByTimeAsync(1000);
    simulation.stopBox(BOX_NAMES.indexOf(witness.box));
    await vi.advanceTimersByTimeAsync(9000 + SETTLED_MS);
    expect(simulation.runChecker.countAllStarts()).toBe(TASKS);
    checkAllRunning(simulation);
  });

  it(
    'never run twice at once when a write of the leader was read long before a retry of it was acknowledged',
    async () => {
      for (let seed = 1; seed <= LOST_RESPONSE_SEEDS; seed += 1) {
        simulation = create(seed);
        await vi.advanceTimersByTimeAsync(SETTLED_MS);
        const leader = simulation.findLeader()!;
        const controller = simulation.boxes[leader]!.controller!;
        const name = `box-${leader}`;
        const held = simulation.endpoints.find(({ process }) => isRunningTasks(process))!.id;
        const free = ENDPOINT_IDS.filter((id) => id !== held);
        const others = [...BOX_NAMES.filter((other) => other !== name), 'log', ...free];
        simulation.startCut([`log>${name}`]);
        while (controller.getLogOutageMs() === 0) {
          await vi.advanceTimersByTimeAsync(1);
        }
        await vi.advanceTimersByTimeAsync(SECOND_RETRY_AFTER_MS - 1);
        simulation.stopCut([`log>${name}`]);
        await vi.advanceTimersByTimeAsync(3);
        // The response to the retry comes, and no later write goes out.
        simulation.startCut([`${name}>log`]);
        await vi.advanceTimersByTimeAsync(10);
        expect(controller.getLogOutageMs()).toBe(0);
        // Only the leader reaches the endpoint that it holds, and nothing else.
        const links = [...listPairs([name, held], others), ...listPairs(others, [name, held])];
        simulation.startCut(links);
        await vi.advanceTimersByTimeAsync(CALM_MS);
        expect({ seed, violations: simulation.runChecker.getViolations() }).toEqual({ seed, violations: [] });
        simulation.stop();
      }
    },
    LOST_RESPONSE_SEEDS * MAX_MS_PER_SEED,
  );
});
