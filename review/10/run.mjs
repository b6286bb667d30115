/** Large jobs whose tasks write checkpoints are shown as failed, though no run of them has failed. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { delay, World } from '../tools-3/World.mjs';

const BOXES = 3;
const EXECUTORS = 8;
/** Size of the largest jobs of the class `course-build` in the site file: `steps.max` and `width.max`; of mean ones without the trouble. */
const [STEPS, WIDTH] = process.env.TROUBLE === '0' ? [2, 10] : [5, 52];
const JOBS = 3;
const WORK_MS = 4800;
const CHECKPOINT_BYTES = 1200;
const WATCH_MS = 20_000;

const world = new World(dirname(fileURLToPath(import.meta.url)));
const ends = new Map();

const job = {
  spec: JSON.stringify({ ms: WORK_MS, saveBytes: CHECKPOINT_BYTES }),
  steps: Array.from({ length: STEPS }, () => ({
    count: WIDTH,
    cpu: 100,
    'mem-mb': 100,
    'estimated-ms': WORK_MS,
    checkpointing: true,
  })),
};

const countEnd = ({ task, how }) => {
  const id = task.split('.')[0];
  const counts = ends.get(id) ?? {};
  ends.set(id, { ...counts, [how]: (counts[how] ?? 0) + 1 });
};

const play = async () => {
  await world.startStore();
  await world.addExecutors(EXECUTORS);
  world.executors.forEach((executor) => (executor.handleEnded = countEnd));
  for (let index = 0; index < BOXES; index += 1) {
    await world.addBox(index);
  }
  if (!(await world.waitForReady(15_000))) {
    return 2;
  }
  await delay(2000);
  const ids = Array.from({ length: JOBS }, () => world.createJobId());
  const accepted = await Promise.all(ids.map((id) => world.submit(id, job)));
  if (accepted.some((one) => !one)) {
    return 2;
  }
  const until = Date.now() + WATCH_MS;
  let states = [];
  while (Date.now() < until && !(states.length > 0 && states.every((state) => state === 'completed'))) {
    await delay(1000);
    const answers = await Promise.all(ids.map((id) => world.call(world.boxes[0], 'GET', id)));
    states = answers.map(({ status, value }) => value?.state ?? status);
    world.record('states', { states });
  }
  world.record('verdict', { states, ends: Object.fromEntries(ends) });
  return states.some((state) => state === 'failed' || state === 'cancelled') ? 1 : 0;
};

const code = await play().catch((error) => {
  world.record('error', { error: String(error?.stack ?? error) });
  return 2;
});
await world.stop();
world.record('exit', { code });
process.exit(code);
