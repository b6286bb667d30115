import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';
import { IncarnationSimulation, type ProtocolMutation } from './helpers/IncarnationSimulation';

/** Number of simulations, each with its own seed. */
const SIMULATIONS = Number(process.env['STAIRLINE_LIFE_WORLDS'] ?? 10);
const FIRST_SEED = Number(process.env['STAIRLINE_LIFE_SEED'] ?? 1);
const MUTATED_SIMULATIONS = 30;
const ENDPOINTS = 5;
const CAPACITY = 4;
const STEP_MS = 20;
const FAULTY_MS = 20_000;
const CALM_MS = 25_000;
const JOB_EVERY_MS = 200;
const FAULT_EVERY_MS = 300;
/** Allowed starts of a task after three endpoints have crashed under it. */
const MAX_EXTRA_STARTS = 2;
/** A job may fail once this many endpoints have ended under one of its tasks. */
const MIN_CRASHES = 2;

const createJob = (number: number, spec: string, count: number): JobDefinition => ({
  ...createJobDefinition(number, [createStep({ count }), createStep({ count: 2, dependsOn: [0] })], {
    attempts: 100,
  }),
  spec,
});

/** Computes the highest number of endpoints that ended under one task of a job. */
const computeMaxLosses = (simulation: IncarnationSimulation, { id, steps }: JobDefinition): number =>
  Math.max(
    ...steps.flatMap(({ count }, step) =>
      Array.from({ length: count }, (_, index) =>
        simulation.runChecker.countLosses(`${id}.0.${step}.${index}`),
      ),
    ),
  );

interface Outcome {
  readonly problems: readonly string[];
  readonly starts: number;
  readonly livesBegun: number;
}

/** Runs a simulation of 20 s with faults and 25 s without. */
const runSimulation = async (seed: number, mutation: ProtocolMutation = 'none'): Promise<Outcome> => {
  const random = createRandom(seed * 7919);
  const simulation = new IncarnationSimulation({
    seed,
    endpoints: ENDPOINTS,
    capacity: CAPACITY,
    lostCommands: 0.08,
    mutation,
  });
  const jobs: JobDefinition[] = [];
  const crashing: JobDefinition[] = [];
  const applyFault = (): void => {
    const pick = random();
    const index = Math.floor(random() * ENDPOINTS);
    if (pick < 0.45) {
      const downMs = random() < 0.5 ? 0 : random() * 3000;
      const recordAfterMs = random() < 0.5 ? 0 : random() * 3000;
      void simulation.runRestart(index, { downMs, isRefusing: random() < 0.5, recordAfterMs });
    } else if (pick < 0.55) {
      simulation.startLeaderAfterKill();
    } else if (pick < 0.6) {
      simulation.startLeader();
    } else if (pick < 0.65) {
      simulation.setPartitioned(index, true);
      setTimeout(() => simulation.setPartitioned(index, false), random() * 6000);
    }
  };
  for (let now = 0; now < FAULTY_MS + CALM_MS; now += STEP_MS) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
    if (now < FAULTY_MS && now % JOB_EVERY_MS === 0) {
      const isCrashing = random() < 0.04;
      const job = createJob(
        jobs.length + 1,
        isCrashing ? 'crashes' : String(100 + Math.floor(random() * 400)),
        3,
      );
      jobs.push(job);
      if (isCrashing) {
        crashing.push(job);
      }
      simulation.handleJob(job);
    }
    if (now < FAULTY_MS && now % FAULT_EVERY_MS === 0) {
      applyFault();
    }
  }
  const problems = [...simulation.runChecker.getViolations()];
  for (const job of jobs) {
    const state = simulation.getState(job.id);
    const expected = crashing.includes(job) ? 'failed' : 'completed';
    const isOverCrashLimit = state === 'failed' && computeMaxLosses(simulation, job) >= MIN_CRASHES;
    if (state !== expected && !isOverCrashLimit) {
      problems.push(`${job.id} is ${state}, not ${expected}`);
    }
  }
  for (const { id } of crashing) {
    for (let index = 0; index < 3; index += 1) {
      const starts = simulation.runChecker.countStartsAfterLosses(`${id}.0.0.${index}`);
      if (starts > MAX_EXTRA_STARTS) {
        problems.push(`${id}.0.0.${index} was started ${starts} times more`);
      }
    }
  }
  simulation.stop();
  return {
    problems,
    starts: simulation.runChecker.countAllStarts(),
    livesBegun: simulation.counts.get('livesBegun') ?? 0,
  };
};

describe('endpoints that restart under their ids, on virtual time', () => {
  beforeEach(() => {
    vi.useFakeTimers({
      toFake: [
        'setTimeout',
        'clearTimeout',
        'setInterval',
        'clearInterval',
        'setImmediate',
        'Date',
        'performance',
      ],
    });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('run no task twice, end every job and limit the starts of crashing tasks, despite other faults', async () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SIMULATIONS; seed += 1) {
      const { problems, starts, livesBegun } = await runSimulation(seed);
      expect({ seed, problems }).toEqual({ seed, problems: [] });
      expect(starts).toBeGreaterThan(300);
      expect(livesBegun).toBeGreaterThan(5);
    }
  });

  it.each(['livesNotTold', 'noFence'] as const)('detects a broken protocol: %s', async (mutation) => {
    let hasProblems = false;
    for (let seed = 1; seed <= MUTATED_SIMULATIONS && !hasProblems; seed += 1) {
      hasProblems = (await runSimulation(seed, mutation)).problems.length > 0;
    }
    expect(hasProblems).toBe(true);
  });
});
