// A job of as many tasks as the program accepts gets 200. Each box that leads runs out of memory and ends, again after each restart.
import { fileURLToPath } from 'node:url';
import { Deployed, delay, toId } from '../tools-2/Deployed.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const SERVERS = 33;
const LARGE = { id: toId(0xa11), count: 100_000, cpu: 5, ms: 1000, specBytes: 1200 };
const SMALL = { count: 4, cpu: 500, ms: 500 };
const TRAFFIC_MS = 85_000;
const SMALL_EVERY_MS = 1000;
const RESTART_MS = 500;
/** The rule counts processes that end by themselves three times in the day on at least two machines. */
const MOST_ENDS = 3;
const MOST_MACHINES = 2;

const toJob = ({ count, cpu, ms, specBytes = 0 }) => ({
  spec: `ms=${ms} `.padEnd(specBytes, 'x'),
  steps: [{ count, cpu, 'estimated-ms': ms }],
});

const run = async () => {
  const recordFile = fileURLToPath(new URL('record.txt', import.meta.url));
  const site = new Deployed({ recordFile, boxCount: 3, serverCount: SERVERS });
  await site.start();
  if (!(await site.waitReady())) return 2;
  const warm = await site.submit(toId(1), toJob(SMALL));
  await delay(2500);
  if (warm !== 200 || (await site.getState(toId(1))) !== 'completed') return 2;
  // The platform starts a process that has ended again after a short delay.
  const watch = setInterval(() => {
    for (const box of site.boxes) {
      const hasEnded = box.child.exitCode !== null || box.child.signalCode !== null;
      if (hasEnded && performance.now() - box.endedAt >= RESTART_MS) site.spawnBox(box);
    }
  }, 100);
  if (isTroubled) await site.submit(LARGE.id, toJob(LARGE));
  const statuses = {};
  const accepted = [];
  const until = performance.now() + TRAFFIC_MS;
  for (let index = 0; performance.now() < until; index += 1) {
    const status = await site.submit(toId(0x100 + index), toJob(SMALL), { tries: 1, first: index });
    statuses[status] = (statuses[status] ?? 0) + 1;
    if (status === 200) accepted.push(toId(0x100 + index));
    await delay(SMALL_EVERY_MS);
  }
  clearInterval(watch);
  const ends = site.events.filter(({ kind }) => kind === 'process ended');
  const machines = new Set(ends.map(({ box }) => box));
  const reasons = site.boxes.map(({ name, output }) => [
    name,
    (output.match(/heap out of memory/g) ?? []).length,
  ]);
  const countDone = (id) =>
    site.events.filter(({ kind, how, task }) => kind === 'end' && how === 'done' && task.startsWith(id))
      .length;
  const completed = accepted.filter((id) => countDone(id) === SMALL.count);
  site.note('result', {
    ends: ends.length,
    machines: machines.size,
    smallJobs: statuses,
    acceptedSmallJobs: accepted.length,
    completedSmallJobs: completed.length,
    outOfMemory: reasons,
  });
  site.stop();
  return ends.length >= MOST_ENDS && machines.size >= MOST_MACHINES ? 1 : 0;
};

run().then(
  (code) => process.exit(code),
  (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  },
);
