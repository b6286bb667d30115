/*
 * What users saw: two tasks of urgent jobs were started again and again until the day ended, some thirty times each. Each start ended the
 * endpoint that carried it out, with all that ran there; the endpoint came back after 3 s.
 *
 * Order of events: a task is placed; the endpoint confirms the start and ends 10 ms later; its looks are refused for 3 s; then another
 * life answers at its address, so that all that ran there is known to have ended; the task waits again and is placed within 40 ms on the
 * next endpoint. A change of leader in between changes nothing.
 *
 * Cause: the end of an endpoint's life was an end of its runs that counted against nothing. Only ends that an endpoint itself calls
 * `failed` had a bound, and a task that ends its endpoint leaves no endpoint to say so.
 *
 * Evidence: the leaders' lines `Run ended.` for one task, each `interrupted`, in stage `running`, confirmed 3 to 15 ms after its record and
 * last listed never, followed by `Tasks placed.` 30 ms later; run numbers 3, 4, 5 under one leader and on under the next.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import { startDelay } from '../packages/common/startDelay';
import { toId } from '../packages/common/toId';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import type { TaskName } from '../packages/jobs/TaskName';
import { CrashWorld } from './helpers/CrashWorld';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

/** Starts of one such task that its users bear: three endpoints lost, and two starts more. */
const MAX_STARTS = 5;
/** So many starts after the third endpoint was lost are too many. */
const STARTS_TOO_MANY = 3;
const CRASH_AFTER_MS = 10;
const SOUND = { runMs: 800 };
const SOUND_LONG = { runMs: 4800 };
const HARMFUL = { runMs: 800, crashAfterMs: CRASH_AFTER_MS };
const WORLD = { seed: 20261202, endpoints: 12, cpuMillis: 16_000, returnMs: 3000 };
const SOUND_JOBS = 24;

const createJob = (number: number, count: number, isGang = false): JobDefinition =>
  createJobDefinition(number, [
    createStep({ count, isGang, demand: { cpuMillis: 1300, memoryMb: 100, accelerators: 0 } }),
  ]);

const toFirstTask = ({ id }: JobDefinition): TaskName => toId<TaskName>(`${id}.0.0.0`);

const REST_MS = 5;
/** The worlds take no pause of their own: in 60 s without one the runner takes its worker for dead, and fails the run without a failed test. */
afterEach(() => startDelay(REST_MS));

describe('tasks that end the endpoints they run on', () => {
  it('are given up after a few endpoints, across changes of leader, and what ran beside them is done', () => {
    for (const leaderEveryMs of [undefined, 2700]) {
      const world = new CrashWorld({ ...WORLD, ...(leaderEveryMs === undefined ? {} : { leaderEveryMs }) });
      const harmful = createJob(1, 1);
      world.start(200);
      world.handleJob(harmful, HARMFUL);
      let sent = 0;
      world.start(60_000, (now) => {
        if (now % 100 === 0 && sent < SOUND_JOBS) {
          sent += 1;
          world.handleJob(createJob(100 + sent, 6), SOUND);
        }
      });
      expect(world.readStartCount(toFirstTask(harmful))).toBeLessThanOrEqual(MAX_STARTS);
      expect(world.readState(harmful.id)).toBe('failed');
      const others = world.readJobIds().filter((id) => id !== harmful.id);
      expect(others.map((id) => world.readState(id))).toEqual(others.map(() => 'completed'));
    }
  });
});

/** Trouble from outside beside the tasks. */
type Outside = 'none' | 'share' | 'byTurns';

interface Scenario {
  readonly harmful: number;
  /** Tasks of each harmful job. */
  readonly width?: number;
  readonly isGang?: boolean;
  readonly crashAfterMs?: number;
  readonly runMs?: number;
  readonly outside?: Outside;
  readonly leaderEveryMs?: number;
  readonly isDark?: boolean;
  readonly isAnswerLost?: boolean;
  readonly returnMs?: number;
  readonly keepsIds?: boolean;
  readonly seed?: number;
}

interface Figures {
  /** Endpoints ended by tasks. */
  readonly crashes: number;
  /** Most starts of one task after three endpoints had ended under it. */
  readonly mostAfterThird: number;
  /** Harmful jobs that were not given up. */
  readonly harmfulLeft: number;
  /** Sound jobs that were given up, and that did not end. */
  readonly soundFailed: number;
  /** Of these, jobs that were given up before five endpoints had ended under a task of theirs. */
  readonly soundFailedEarly: number;
  readonly soundLeft: number;
  /** From acceptance to the end of sound jobs. */
  readonly soundP50Ms: number;
  readonly soundP99Ms: number;
}

const LOAD_EVERY_MS = 100;
const LOAD_MS = 30_000;
const SETTLE_MS = 40_000;
const SITE = { endpoints: 33, cpuMillis: 16_000, returnMs: 3000 };
const HARM_AT_MS = 5000;
const OUTSIDE_AT_MS = 7000;
const BY_TURNS_EVERY_MS = 2000;

/** Tasks that were given up, with the endpoints that had ended under them. */
const readGivenUp = (world: CrashWorld): readonly { readonly job: unknown; readonly charged: number }[] =>
  world.lines
    .filter(({ message }) => message.startsWith('Task is given up'))
    .map(({ fields }) => ({ job: fields['job'], charged: (fields['crashes'] as readonly unknown[]).length }));

/** A site of 33 endpoints under a fifth of its load, with harmful jobs that all come at once, and trouble from outside. */
const measureScenario = (scenario: Scenario): Figures => {
  const { harmful, width = 1, isGang = false, crashAfterMs = CRASH_AFTER_MS, runMs = 800 } = scenario;
  const { outside = 'none', leaderEveryMs, isDark = false, isAnswerLost = false, seed = 1 } = scenario;
  const { returnMs = SITE.returnMs, keepsIds = false } = scenario;
  const leaders = leaderEveryMs === undefined ? {} : { leaderEveryMs, leadersUntilMs: LOAD_MS };
  const world = new CrashWorld({ ...SITE, returnMs, seed, isDark, isAnswerLost, keepsIds, ...leaders });
  const harmfulJobs: JobDefinition[] = [];
  let sent = 0;
  const handleTick = (now: number): void => {
    if (now % LOAD_EVERY_MS === 0 && now < LOAD_MS) {
      sent += 1;
      world.handleJob(createJob(1000 + sent, 10), SOUND);
      if (sent % 10 === 0) {
        world.handleJob(createJob(5000 + sent, 20), SOUND_LONG);
      }
    }
    if (now === HARM_AT_MS) {
      for (let number = 1; number <= harmful; number += 1) {
        const job = createJob(number, width, isGang);
        harmfulJobs.push(job);
        world.handleJob(job, { runMs, crashAfterMs });
      }
    }
    if (outside === 'share' && now === OUTSIDE_AT_MS) {
      world.applyOutsideCrash(0.15);
    }
    if (outside === 'byTurns' && now >= HARM_AT_MS && now < LOAD_MS && now % BY_TURNS_EVERY_MS === 0) {
      world.applyOutsideCrash(0.08);
    }
  };
  world.start(LOAD_MS + SETTLE_MS, handleTick);
  const sound = world.readJobIds().filter((id) => !harmfulJobs.some((job) => job.id === id));
  const took = sound.map((id) => world.readTookMs(id)).sort((left, right) => left - right);
  return {
    crashes: world.crashCount,
    mostAfterThird: world.readMostAfterThird(),
    harmfulLeft: harmfulJobs.filter(({ id }) => world.readState(id) !== 'failed').length,
    soundFailedEarly: readGivenUp(world).filter(
      ({ job, charged }) => charged < MAX_STARTS && !harmfulJobs.some(({ id }) => id === job),
    ).length,
    soundFailed: sound.filter((id) => world.readState(id) === 'failed').length,
    soundLeft: sound.filter((id) => !['failed', 'completed'].includes(world.readState(id))).length,
    soundP50Ms: took[Math.floor(took.length / 2)]!,
    soundP99Ms: took[Math.floor(took.length * 0.99)]!,
  };
};

/** Mixes to try; more by hand, with other seeds. */
const MIXES = Number(process.env['STAIRLINE_CRASH_MIXES'] ?? 6);
const MIX_SEED = Number(process.env['STAIRLINE_CRASH_SEED'] ?? 1);
/**
 * 11: the fifth charge became known after the next start had left. 38: two sound jobs went down with harmful ones that were found one by one.
 * The others: the record of an endpoint had gone before the next leader read it, and its end was charged to nothing: a start too many.
 */
const KEPT_SEEDS = [9, 11, 38, 80, 227];
/**
 * A harmful task was started four times after the third endpoint had ended under it: its third and fourth were charged to nothing. An earlier
 * leader had placed its runs; their leases ran out beside that of a task under suspicion, which alone was charged, and the rest was noted in that
 * leader's memory until another life would answer there. 20 ms before it did the next leader came, and the note was gone. Evidence: "Crash is
 * charged." for i-27-1 and i-24-2 names the other task alone, and no line names the harmful one until its fifth run.
 */
const NOTED_SEED = 1272;
/** Two endpoints are lost from outside within 0.1 s of two starts of one sound task. */
const UNLUCKY_SEED = 151;
const OUTSIDES: readonly Outside[] = ['none', 'none', 'share', 'byTurns'];

const createMix = (seed: number): Scenario => {
  const random = createRandom(seed);
  const chooseUpTo = (most: number): number => Math.floor(random() * (most + 1));
  return {
    seed,
    harmful: chooseUpTo(12),
    width: 1 + chooseUpTo(5),
    isGang: random() < 0.15,
    crashAfterMs: 10 + chooseUpTo(24) * 10,
    outside: OUTSIDES[chooseUpTo(OUTSIDES.length - 1)]!,
    isDark: random() < 0.3,
    isAnswerLost: random() < 0.3,
    returnMs: 1500 + chooseUpTo(55) * 100,
    ...(random() < 0.4 ? { leaderEveryMs: 1500 + chooseUpTo(40) * 100 } : {}),
  };
};

describe('harmful tasks of many kinds, and endpoints that end for other reasons', () => {
  const SCENARIOS: Readonly<Record<string, Scenario>> = {
    'nothing harmful': { harmful: 0 },
    'one task': { harmful: 1 },
    'five tasks': { harmful: 5 },
    'twenty tasks': { harmful: 20 },
    'a wide step': { harmful: 1, width: 20 },
    'a gang': { harmful: 1, width: 6, isGang: true },
    'twenty tasks while leaders change': { harmful: 20, leaderEveryMs: 2700 },
    'five on endpoints that say nothing': { harmful: 5, isDark: true },
    'five on endpoints that come back after their leases': { harmful: 5, isDark: true, returnMs: 6000 },
    'five whose starts have no answer': { harmful: 5, isAnswerLost: true },
    'five that work for 2 s first': { harmful: 5, crashAfterMs: 2000, runMs: 4000 },
    'endpoints lost together': { harmful: 0, outside: 'share' },
    'five tasks, and endpoints lost together': { harmful: 5, outside: 'share' },
    'endpoints lost by turns': { harmful: 0, outside: 'byTurns' },
    'five tasks, and endpoints lost by turns': { harmful: 5, outside: 'byTurns' },
    'twenty tasks, and endpoints lost by turns': { harmful: 20, outside: 'byTurns' },
  };

  it.each(Object.entries(SCENARIOS))(
    '%s: all that is harmful is given up, and nothing else',
    (_name, scenario) => {
      for (const seed of scenario.outside === undefined ? [1] : [1, 2, 3]) {
        const figures = measureScenario({ ...scenario, seed });
        expect(figures).toMatchObject({ harmfulLeft: 0, soundFailed: 0, soundLeft: 0 });
        expect(figures.mostAfterThird).toBeLessThan(STARTS_TOO_MANY);
      }
    },
  );

  it.each(Object.entries(SCENARIOS))(
    '%s, with endpoints that are back under their ids after 100 ms: all that is harmful is given up, and nothing else',
    (_name, scenario) => {
      for (const seed of scenario.outside === undefined ? [1] : [1, 2, 3]) {
        const figures = measureScenario({ returnMs: 100, ...scenario, keepsIds: true, seed });
        expect(figures).toMatchObject({ harmfulLeft: 0, soundFailed: 0, soundLeft: 0 });
        expect(figures.mostAfterThird).toBeLessThan(STARTS_TOO_MANY);
      }
    },
  );

  it.each([false, true])('holds in mixes of them, where endpoints keep their ids: %s', (keepsIds) => {
    const seeds = Array.from({ length: MIXES }, (_, index) => MIX_SEED + index);
    for (const seed of [...KEPT_SEEDS, NOTED_SEED, ...seeds]) {
      const scenario = { ...createMix(seed), keepsIds };
      const figures = measureScenario(scenario);
      expect(figures, `seed ${seed}: ${JSON.stringify(scenario)}`).toMatchObject({
        harmfulLeft: 0,
        soundFailedEarly: 0,
        soundLeft: 0,
      });
      // What five endpoints have ended under cannot be told from what ended them.
      expect(figures.soundFailed, `seed ${seed}`).toBeLessThanOrEqual(1);
      expect(figures.mostAfterThird, `seed ${seed}`).toBeLessThan(STARTS_TOO_MANY);
    }
  });

  it('give up no sound job whose endpoints are lost from outside as it begins', () => {
    expect(measureScenario(createMix(UNLUCKY_SEED)).soundFailedEarly).toBe(0);
  });

  /*
   * Two sound jobs are given up beside ten harmful ones of three tasks each, in a hall where 8 % of the endpoints are lost every 2 s and say nothing.
   * Under a task of each five endpoints ended: the first two in outages, the third and fourth under harmful tasks that had begun there 0.1 s
   * before, as the site had no other room, the fifth beside siblings of a harmful task that was given up 30 ms later. Each charge is true, and a
   * harmful task may not be started a sixth time. What would help is to keep apart from the siblings of tasks under suspicion. Evidence: the lines
   * "Tasks placed." and "Crash is charged." of 0000000000000447.0.0.6 and 000000000000044a.0.0.8.
   */
  it('give up one sound job at most beside thirty harmful tasks where endpoints are lost by turns', () => {
    expect(measureScenario(createMix(1212)).soundFailed).toBeLessThanOrEqual(1);
  });

  it('costs a step of twenty harmful tasks five endpoints, for 42 where all of them begin at once', () => {
    expect(measureScenario({ harmful: 1, width: 20 }).crashes).toBeLessThanOrEqual(5);
  });
});
