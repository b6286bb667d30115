/** A lasting job whose executor crashes several times, and is back each time, is shown as failed. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { delay, World } from '../tools-3/World.mjs';

const BOXES = 3;
const EXECUTORS = 8;
const CRASHES = process.env.TROUBLE === '0' ? 0 : 6;
/** Time that the task is at work before each crash, and time for which the executor is down. */
const UP_MS = 4000;
const DOWN_MS = 1500;
/** Time after the last crash in which the job has to be at work again. */
const CALM_MS = 20_000;
const LABEL = 'b';

const JOB = {
  spec: JSON.stringify({ lasts: true }),
  steps: [
    { count: 2, cpu: 2000, 'mem-mb': 1024, 'estimated-ms': 400, requirements: LABEL, 'long-running': true },
  ],
};

const world = new World(dirname(fileURLToPath(import.meta.url)));

const readState = async (id) => {
  for (const box of world.boxes) {
    const { status, value } = await world.call(box, 'GET', id);
    world.record('state', { box: box.name, status, state: value?.state });
    if (status === 200) {
      return value.state;
    }
  }
  return undefined;
};

/** Waits until both tasks run on the executor, or the job has ended. */
const waitForTasks = async (executor, timeoutMs) => {
  const until = Date.now() + timeoutMs;
  while (Date.now() < until) {
    if (executor.isUp && executor.running.size === 2) {
      return true;
    }
    await delay(50);
  }
  return false;
};

const play = async () => {
  await world.startStore();
  await world.addExecutors(EXECUTORS, (index) =>
    index === 0 ? [LABEL, 'r1-1'] : ['a', `r${(index % 3) + 1}-1`],
  );
  for (let index = 0; index < BOXES; index += 1) {
    await world.addBox(index);
  }
  if (!(await world.waitForReady(15_000))) {
    return 2;
  }
  await delay(2000);
  const id = world.createJobId();
  const [special] = world.executors;
  if (!(await world.submit(id, JOB)) || !(await waitForTasks(special, 5000))) {
    return 2;
  }
  let state = await readState(id);
  for (let crash = 1; crash <= CRASHES && state !== 'failed' && state !== 'cancelled'; crash += 1) {
    await waitForTasks(special, 8000);
    await delay(UP_MS);
    special.crash();
    await delay(DOWN_MS);
    await special.start();
    await delay(500);
    state = await readState(id);
  }
  const isAtWork = await waitForTasks(special, CALM_MS);
  await delay(3000);
  state = await readState(id);
  world.record('verdict', { state, isAtWork });
  if (state === undefined) {
    return 2;
  }
  return state === 'failed' || state === 'cancelled' ? 1 : 0;
};

const code = await play().catch((error) => {
  world.record('error', { error: String(error?.stack ?? error) });
  return 2;
});
await world.stop();
world.record('exit', { code });
process.exit(code);
