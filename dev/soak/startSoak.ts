import { createRandom } from '../../packages/common/createRandom';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { Cell } from '../cell/Cell';
import { toJobIdText } from '../cell/toJobIdText';
import type { SoakPlan } from './SoakPlan';
import { soakTroubles } from './soakTroubles';
import { SoakWorld } from './SoakWorld';

type Fate = 'accepted' | 'refused' | 'unknown';

interface SentJob {
  readonly id: string;
  readonly isHarmful: boolean;
  /** What the answers to all attempts say. */
  fate: Fate;
}

interface SoakResult {
  readonly problems: readonly string[];
  readonly accepted: number;
  readonly refused: number;
  readonly starts: number;
  /** How often each trouble was begun. */
  readonly troubles: Readonly<Record<string, number>>;
}

const ROOM = 4;
const JOB_EVERY_MS = 150;
const BURST_JOB_EVERY_MS = 25;
const TROUBLE_EVERY_MS = 400;
const HARMFUL_SHARE = 0.03;
const END_MS = 40_000;
const MAX_LATE_STARTS = 2;
const OK = 200;
const TOLD_LETTERS = 600;
const REFUSALS: ReadonlySet<number> = new Set([429, 503]);

/** Sends one job; without a true answer it is sent again elsewhere, as callers do. */
const sendJob = async (world: SoakWorld, job: SentJob): Promise<void> => {
  const { cell } = world;
  const spec = job.isHarmful ? 'crashes' : String(100 + world.chooseUpTo(500));
  const step = { count: 1 + world.chooseUpTo(3), cpu: 1000, 'mem-mb': 100 };
  const steps = job.isHarmful ? [{ ...step, count: 1 }] : [step, { ...step, 'depends-on': [0] }];
  for (let attempt = 0; attempt < 4 && job.fate !== 'accepted'; attempt += 1) {
    const box = cell.boxes[world.chooseUpTo(cell.boxes.length - 1)]!;
    const answer = await cell.sendJob(box, job.id, { spec, steps }).catch(() => undefined);
    if (answer?.status === OK) {
      job.fate = 'accepted';
    } else if (answer === undefined || !REFUSALS.has(answer.status)) {
      job.fate = 'unknown';
    }
    await world.startPause(500);
  }
};

const startTroubles = async (
  world: SoakWorld,
  troubledMs: number,
  counts: Record<string, number>,
): Promise<void> => {
  const names = Object.keys(soakTroubles);
  const until = performance.now() + troubledMs;
  while (performance.now() < until) {
    const name = names[world.chooseUpTo(names.length - 1)]!;
    counts[name] = (counts[name] ?? 0) + 1;
    world.startBeside(soakTroubles[name]!(world));
    await world.startPause(2 * TROUBLE_EVERY_MS);
  }
  await world.startCalm();
};

const startJobs = async (world: SoakWorld, troubledMs: number): Promise<readonly SentJob[]> => {
  const jobs: SentJob[] = [];
  const sending: Promise<void>[] = [];
  const until = performance.now() + troubledMs;
  while (performance.now() < until) {
    const job: SentJob = {
      id: toJobIdText(jobs.length + 1),
      isHarmful: world.random() < HARMFUL_SHARE,
      fate: 'refused',
    };
    jobs.push(job);
    sending.push(sendJob(world, job));
    await waitForDelay(world.isBursting ? BURST_JOB_EVERY_MS : JOB_EVERY_MS);
  }
  await Promise.all(sending);
  return jobs;
};

const checkJob = async (
  { cell }: SoakWorld,
  { id, isHarmful, fate }: SentJob,
): Promise<readonly string[]> => {
  const first = `${id}.0.0.0`;
  if (fate === 'refused') {
    return cell.runChecker.countStarts(first) > 0 ? [`${id} was refused and ran`] : [];
  }
  const lateStarts = cell.runChecker.countStartsAfterLosses(first);
  if (isHarmful && lateStarts > MAX_LATE_STARTS) {
    return [`${first} was started ${lateStarts} times more after three endpoints had ended under it`];
  }
  if (fate === 'unknown') {
    return [];
  }
  const box = cell.boxes.find(({ process }) => process.isAlive())!;
  const expected = isHarmful ? 'failed' : 'completed';
  const isReached = await cell.startState(box, id, expected, END_MS).then(
    () => true,
    () => false,
  );
  if (isReached) {
    return [];
  }
  const { body } = await cell.readState(box, id);
  const isBorne = body.state === 'failed' && cell.runChecker.computeMaxLosses(id) > 1;
  return isBorne ? [] : [`${id} is ${body.state ?? 'not known'}, not ${expected}`];
};

/** A box that takes no callers once all troubles are over, with the last that it has told. */
const checkReady = async ({ cell }: SoakWorld, box: Cell['boxes'][number]): Promise<readonly string[]> =>
  cell.startReady(box).then(
    () => [],
    () => [`${box.name} takes no callers: ${box.process.readOutput().slice(-TOLD_LETTERS)}`],
  );

/** Real entry processes among stand-ins, with troubles that overlap, and callers that keep their connections. */
export const startSoak = async (plan: SoakPlan): Promise<SoakResult> => {
  const { boxes, executors, troubledMs, seed } = plan;
  const cell = await Cell.create({ boxes, executors, roomPerExecutor: ROOM, keepsIds: true });
  const world = new SoakWorld(cell, createRandom(seed));
  const troubles: Record<string, number> = {};
  try {
    const [jobs] = await Promise.all([
      startJobs(world, troubledMs),
      startTroubles(world, troubledMs, troubles),
    ]);
    const unready = (await Promise.all(cell.boxes.map((box) => checkReady(world, box)))).flat();
    const checked = (await Promise.all(jobs.map((job) => checkJob(world, job)))).flat();
    const problems = [...unready, ...checked];
    const dead = cell.boxes.filter(({ process }) => !process.isAlive());
    return {
      problems: [
        ...cell.runChecker.getViolations(),
        ...problems,
        ...dead.map(({ name }) => `${name} has ended`),
      ],
      accepted: jobs.filter(({ fate }) => fate === 'accepted').length,
      refused: jobs.filter(({ fate }) => fate === 'refused').length,
      starts: cell.runChecker.countAllStarts(),
      troubles,
    };
  } finally {
    await cell.stop();
  }
};
