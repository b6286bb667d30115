/** A lasting job whose only executor goes down and up by turns for 5.5 s is shown as failed from then on. */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { delay, World } from '../tools-3/World.mjs';

const IS_TROUBLED = process.env.TROUBLE !== '0';
const BOXES = 3;
/** One of 33 executors is a share of 0.0303; the site file's trouble has a share of 0.031, a period of 0.986 s, and lasts 5.54 s. */
const EXECUTORS = 33;
const PERIOD_MS = 986;
const FLAPPING_MS = 5540;
/** Time after the trouble in which the job has to be at work again. */
const CALM_MS = 15_000;
const TASKS = 1;
const LABEL = 'b';

const JOB = {
  spec: JSON.stringify({ lasts: true }),
  steps: [
    {
      count: TASKS,
      cpu: 2000,
      'mem-mb': 1024,
      'estimated-ms': 400,
      requirements: LABEL,
      'long-running': true,
    },
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

/** Waits until all tasks run on the executor. */
const waitForTasks = async (executor, timeoutMs) => {
  const until = Date.now() + timeoutMs;
  while (Date.now() < until) {
    if (executor.isUp && executor.running.size === TASKS) {
      return true;
    }
    await delay(50);
  }
  return false;
};

const flap = async (executor) => {
  const until = Date.now() + FLAPPING_MS;
  while (Date.now() < until) {
    executor.crash();
    await delay(PERIOD_MS / 2);
    await executor.start();
    await delay(PERIOD_MS / 2);
  }
};

const play = async () => {
  await world.startStore();
  await world.addExecutors(EXECUTORS, (index) => [index === 0 ? LABEL : 'a', `r${(index % 3) + 1}-1`]);
  const [special] = world.executors;
  const failedRuns = [];
  special.handleEnded = ({ task, run, how }) => how === 'failed' && failedRuns.push({ task, run });
  for (let index = 0; index < BOXES; index += 1) {
    await world.addBox(index);
  }
  if (!(await world.waitForReady(15_000))) {
    return 2;
  }
  await delay(2000);
  const id = world.createJobId();
  if (!(await world.submit(id, JOB)) || !(await waitForTasks(special, 5000))) {
    return 2;
  }
  await delay(2000);
  if (IS_TROUBLED) {
    await flap(special);
  } else {
    await delay(FLAPPING_MS);
  }
  await delay(CALM_MS);
  const state = await readState(id);
  world.record('verdict', { state, running: special.running.size, failedRuns });
  if (state === undefined || failedRuns.length > 0) {
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
