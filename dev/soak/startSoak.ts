import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createRandom } from '../../packages/common/createRandom';
import type { Random } from '../../packages/common/Random';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { Cell } from '../cell/Cell';
import { toJobIdText } from '../cell/toJobIdText';
import { createTroubleSchedule } from './createTroubleSchedule';
import { HeldConnections } from './HeldConnections';
import { LastingWatch } from './LastingWatch';
import type { PlayedTrouble } from './PlayedTrouble';
import type { ScheduledTrouble } from './ScheduledTrouble';
import { SoakChoices } from './SoakChoices';
import type { SoakJob } from './SoakJob';
import type { SoakPlan } from './SoakPlan';
import { soakTroubles } from './soakTroubles';
import { SoakWorld } from './SoakWorld';

type Box = Cell['boxes'][number];

interface SoakResult {
  readonly problems: readonly string[];
  readonly accepted: number;
  readonly refused: number;
  readonly starts: number;
  /** How often each trouble was begun. */
  readonly troubles: Readonly<Record<string, number>>;
}

/** Random generators that a seed gives, so that none depends on the order in which the timers of the others fire. */
interface SoakRandoms {
  readonly schedule: Random;
  readonly jobs: Random;
  readonly lastingJobs: Random;
  readonly reads: Random;
}

const ROOM = 4;
const JOB_EVERY_MS = 150;
const BURST_JOB_EVERY_MS = 25;
const HARMFUL_SHARE = 0.03;
const URGENT_SHARE = 0.6;
const LASTING_JOBS = 3;
const LASTING_EVERY_MS = 1000;
const READ_EVERY_MS = 50;
/** Time in which an accepted job becomes visible at every box. */
const VISIBLE_MS = 3000;
/** Time in which every box answers for every accepted job, once all troubles are over. */
const KNOWN_MS = 14_000;
/** Time without troubles, in which jobs go on, before the end. */
const CALM_MS = 13_000;
const END_MS = 40_000;
const STOPPED_MS = 10_000;
const MAX_LATE_STARTS = 2;
const OK = 200;
const GONE = 410;
const TOLD_LETTERS = 600;
const SEED_RANGE = 2 ** 32;
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);
const UNEXPECTED_STATES: ReadonlySet<string | undefined> = new Set(['failed', 'cancelled']);

const createRandoms = (seed: number): SoakRandoms => {
  const seeds = createRandom(seed);
  const createNext = (): Random => createRandom(Math.floor(seeds() * SEED_RANGE));
  return { schedule: createNext(), jobs: createNext(), lastingJobs: createNext(), reads: createNext() };
};

/** Creates the choices of one of several that share a random generator; it uses one number of that. */
const createChoices = (random: Random): SoakChoices =>
  new SoakChoices(createRandom(Math.floor(random() * SEED_RANGE)));

const createBody = (choices: SoakChoices, { kind, count }: SoakJob): object => {
  const step = { count, cpu: 1000, 'mem-mb': 100 };
  switch (kind) {
    case 'harmful':
      return { spec: 'crashes', steps: [step] };
    case 'lasting':
      return { spec: 'lasts', steps: [{ ...step, 'long-running': true }] };
    case 'short':
      return {
        spec: String(100 + choices.chooseUpTo(500)),
        steps: [step, { ...step, 'depends-on': [0] }],
      };
  }
};

/** Sends one job; without a true answer it is sent again elsewhere, as callers do. */
const sendJob = async (world: SoakWorld, choices: SoakChoices, job: SoakJob): Promise<void> => {
  const { cell } = world;
  const body = createBody(choices, job);
  for (let attempt = 0; attempt < 4 && job.fate !== 'accepted'; attempt += 1) {
    const answer = await cell
      .sendJob(world.chooseBox(choices), job.id, body, job.queue)
      .catch(() => undefined);
    if (answer?.status === OK) {
      world.recordAccepted(job);
    } else if (answer === undefined || !REFUSALS.has(answer.status)) {
      job.fate = 'unknown';
    }
    await choices.waitForPause(500);
  }
};

/** Plays the scheduled troubles, each at its time, and waits until all are over. */
const startTroubles = async (
  world: SoakWorld,
  schedule: readonly ScheduledTrouble[],
  played: PlayedTrouble[],
): Promise<void> => {
  const startedAt = performance.now();
  const getElapsedMs = (): number => Math.round(performance.now() - startedAt);
  for (const scheduled of schedule) {
    await waitForDelay(Math.max(0, scheduled.atMs - getElapsedMs()));
    const choices = new SoakChoices(createRandom(scheduled.seed));
    const trouble: PlayedTrouble = {
      ...scheduled,
      begunMs: getElapsedMs(),
      endedMs: undefined,
      choices: choices.chosen,
    };
    played.push(trouble);
    world.startBeside(
      soakTroubles[scheduled.name]!(world, choices).finally(() => {
        trouble.endedMs = getElapsedMs();
      }),
    );
  }
  await world.startCalm();
};

const addJob = (
  world: SoakWorld,
  { kind, queue, count }: Pick<SoakJob, 'kind' | 'queue' | 'count'>,
): SoakJob => {
  const id = toJobIdText(world.jobs.length + 1);
  const job: SoakJob = { id, kind, queue, count, fate: 'refused', acceptedAt: undefined };
  world.jobs.push(job);
  return job;
};

const createShortJob = (world: SoakWorld, choices: SoakChoices): SoakJob => {
  const isHarmful = choices.random() < HARMFUL_SHARE;
  const queue = choices.random() < URGENT_SHARE ? 'urgent' : 'jobs';
  return addJob(
    world,
    isHarmful
      ? { kind: 'harmful', queue, count: 1 }
      : { kind: 'short', queue, count: 1 + choices.chooseUpTo(2) },
  );
};

/** Sends jobs until a promise settles, and waits for their answers. */
const startJobs = async (world: SoakWorld, random: Random, end: Promise<unknown>): Promise<void> => {
  let isOver = false;
  void end.finally(() => (isOver = true));
  const sending: Promise<void>[] = [];
  const hasEnded = (): boolean => isOver;
  while (!hasEnded()) {
    const choices = createChoices(random);
    sending.push(sendJob(world, choices, createShortJob(world, choices)));
    await waitForDelay(world.isBursting ? BURST_JOB_EVERY_MS : JOB_EVERY_MS);
  }
  await Promise.all(sending);
};

/** Sends lasting jobs to a queue that needs advice and is less urgent than others. */
const startLastingJobs = async (world: SoakWorld, random: Random): Promise<void> => {
  for (let index = 0; index < LASTING_JOBS; index += 1) {
    const job = addJob(world, { kind: 'lasting', queue: 'advised', count: 1 + index });
    await sendJob(world, createChoices(random), job);
    await waitForDelay(LASTING_EVERY_MS);
  }
};

const isEndBorne = ({ cell }: SoakWorld, job: SoakJob): boolean =>
  job.kind === 'harmful' || cell.runChecker.computeMaxLosses(job.id) > 1;

/** Asks a box for an accepted job while the soak runs. */
const checkVisible = async (world: SoakWorld, box: Box, job: SoakJob): Promise<void> => {
  const ageMs = performance.now() - job.acceptedAt!;
  const answer = await world.cell.readState(box, job.id, job.queue).catch(() => undefined);
  if (answer?.status === GONE && ageMs > VISIBLE_MS) {
    world.problems.push(`${box.name} did not know ${job.id}, accepted ${Math.round(ageMs)} ms before`);
  }
  const { state } = answer?.body ?? {};
  const isCancelled = state === 'cancelled';
  if (UNEXPECTED_STATES.has(state) && (isCancelled || !isEndBorne(world, job))) {
    world.problems.push(`${box.name} showed ${job.id} as ${state} without cause`);
  }
};

const startReads = async (world: SoakWorld, random: Random, end: Promise<unknown>): Promise<void> => {
  let isOver = false;
  void end.finally(() => (isOver = true));
  const hasEnded = (): boolean => isOver;
  const reads: Promise<void>[] = [];
  while (!hasEnded()) {
    const choices = createChoices(random);
    const job = world.chooseAcceptedJob(choices);
    if (job !== undefined) {
      reads.push(checkVisible(world, world.chooseBox(choices), job));
    }
    await waitForDelay(READ_EVERY_MS);
  }
  await Promise.all(reads);
};

/** Asks a box for an accepted job until it answers, for a limited time. */
const checkKnown = async (
  { cell }: SoakWorld,
  box: Box,
  { id, queue }: SoakJob,
): Promise<readonly string[]> => {
  let status: number | undefined;
  await cell
    .startUntil(async () => {
      status = (await cell.readState(box, id, queue).catch(() => undefined))?.status;
      return status === OK || status === GONE;
    }, KNOWN_MS)
    .catch(() => undefined);
  return status === OK ? [] : [`${box.name} answers ${status ?? 'nothing'} for ${id} at the end`];
};

const checkJob = async ({ cell }: SoakWorld, job: SoakJob): Promise<readonly string[]> => {
  const { id, kind, fate, queue } = job;
  const isHarmful = kind === 'harmful';
  const first = `${id}.0.0.0`;
  if (fate === 'refused') {
    return cell.runChecker.countStarts(first) > 0 ? [`${id} was refused and ran`] : [];
  }
  const lateStarts = cell.runChecker.countStartsAfterLosses(first);
  if (isHarmful && lateStarts > MAX_LATE_STARTS) {
    return [`${first} was started ${lateStarts} times more after three endpoints had ended under it`];
  }
  if (fate === 'unknown' || kind === 'lasting') {
    return [];
  }
  const box = cell.boxes.find(({ process }) => process.isAlive())!;
  const expected = isHarmful ? 'failed' : 'completed';
  const isReached = await cell.startState(box, id, expected, END_MS, queue).then(
    () => true,
    () => false,
  );
  if (isReached) {
    return [];
  }
  const { body } = await cell.readState(box, id, queue);
  const isBorne = body.state === 'failed' && cell.runChecker.computeMaxLosses(id) > 1;
  return isBorne ? [] : [`${id} is ${body.state ?? 'not known'}, not ${expected}`];
};

/** Cancels a lasting job, of which nothing may run soon after. */
const checkCancel = async ({ cell }: SoakWorld, job: SoakJob): Promise<readonly string[]> => {
  const { id, queue, count } = job;
  const tasks = Array.from({ length: count }, (_, index) => `${id}.0.0.${index}`);
  const isStopped = await cell
    .startUntil(async () => {
      const answer = await cell.cancelJob(cell.boxes[0]!, id, queue).catch(() => undefined);
      return answer?.status === OK && !tasks.some((task) => cell.runChecker.isRunning(task));
    }, STOPPED_MS)
    .then(
      () => true,
      () => false,
    );
  return isStopped ? [] : [`${id} still runs after it was cancelled`];
};

/** A box that takes no callers once all troubles are over, with the last that it has told. */
const checkReady = async ({ cell }: SoakWorld, box: Box): Promise<readonly string[]> =>
  cell.startReady(box).then(
    () => [],
    () => [`${box.name} takes no callers: ${box.process.readOutput().slice(-TOLD_LETTERS)}`],
  );

/** Plays the troubles, then a calm in which jobs go on. */
const startPlay = async (
  world: SoakWorld,
  schedule: readonly ScheduledTrouble[],
  played: PlayedTrouble[],
): Promise<readonly string[]> => {
  await startTroubles(world, schedule, played);
  const ready = Promise.all(world.cell.boxes.map((box) => checkReady(world, box)));
  const [unready] = await Promise.all([ready, new LastingWatch(world).start(CALM_MS)]);
  return unready.flat();
};

/** Checks all jobs at the end, when nothing more is sent. */
const listEndProblems = async (world: SoakWorld): Promise<readonly string[]> => {
  const { cell, jobs } = world;
  const accepted = jobs.filter(({ fate }) => fate === 'accepted');
  const known = cell.boxes.flatMap((box) => accepted.map((job) => checkKnown(world, box, job)));
  const unknown = (await Promise.all(known)).flat();
  const lasting = accepted.filter(({ kind }) => kind === 'lasting');
  const uncancelled = (await Promise.all(lasting.map((job) => checkCancel(world, job)))).flat();
  const checked = (await Promise.all(jobs.map((job) => checkJob(world, job)))).flat();
  const dead = cell.boxes.filter(({ process }) => !process.isAlive());
  return [...unknown, ...uncancelled, ...checked, ...dead.map(({ name }) => `${name} has ended`)];
};

const countTroubles = (played: readonly PlayedTrouble[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  played.forEach(({ name }) => (counts[name] = (counts[name] ?? 0) + 1));
  return counts;
};

/** Real entry processes among stand-ins, with troubles that overlap, and callers that keep their connections. */
export const startSoak = async (plan: SoakPlan): Promise<SoakResult> => {
  const { boxes, executors, troubledMs, seed, keptLogs } = plan;
  const cell = await Cell.create({
    boxes,
    executors,
    roomPerExecutor: ROOM,
    keepsIds: true,
    ...(plan.coresPerBox === undefined ? {} : { coresPerBox: plan.coresPerBox }),
  });
  const world = new SoakWorld(cell);
  const randoms = createRandoms(seed);
  const schedule =
    plan.schedule ?? createTroubleSchedule(Object.keys(soakTroubles), troubledMs, randoms.schedule);
  const held = new HeldConnections(cell);
  const played: PlayedTrouble[] = [];
  let problems: readonly string[] = ['The soak did not come to its end.'];
  try {
    const play = startPlay(world, schedule, played);
    const [unready] = await Promise.all([
      play,
      startLastingJobs(world, randoms.lastingJobs),
      startJobs(world, randoms.jobs, play),
      startReads(world, randoms.reads, play),
    ]);
    const endProblems = await listEndProblems(world);
    problems = [...cell.runChecker.getViolations(), ...world.problems, ...unready, ...endProblems];
    return {
      problems,
      accepted: world.jobs.filter(({ fate }) => fate === 'accepted').length,
      refused: world.jobs.filter(({ fate }) => fate === 'refused').length,
      starts: cell.runChecker.countAllStarts(),
      troubles: countTroubles(played),
    };
  } finally {
    held.stop();
    const directory = problems.length > 0 ? keptLogs : undefined;
    await cell.stop(directory);
    if (directory !== undefined) {
      writeFileSync(
        join(directory, 'problems.json'),
        JSON.stringify({ plan, problems, troubles: played }, undefined, 2),
      );
    }
  }
};
