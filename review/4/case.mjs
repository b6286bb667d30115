// A job of 9,000 small tasks is accepted. Its progress record outgrows the store's `record_bytes`: no box can lead any more, and no job runs.
import { fileURLToPath } from 'node:url';
import { Deployed, delay, toId } from '../tools-2/Deployed.mjs';
import { findIdleStretch } from '../tools-2/findIdleStretch.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const SERVERS = 33;
const SERVER_CPU = 16_000;
const LARGE = { id: toId(0xa11), count: 9000, cpu: 100, ms: 1000 };
const SMALL = { count: 4, cpu: 500, ms: 800 };
const SMALL_JOBS = 30;
const SMALL_EVERY_MS = 1000;
const FINISH_MS = 14_000;

const toJob = ({ count, cpu, ms }) => ({
  spec: `ms=${ms}`,
  steps: [{ count, cpu, 'mem-mb': 4, 'estimated-ms': ms }],
});

const run = async () => {
  const recordFile = fileURLToPath(new URL('record.txt', import.meta.url));
  const site = new Deployed({ recordFile, boxCount: 3, serverCount: SERVERS });
  await site.start();
  if (!(await site.waitReady())) return 2;
  const warm = await site.submit(toId(1), toJob(SMALL));
  await delay(3000);
  if (warm !== 200 || (await site.getState(toId(1))) !== 'completed') return 2;
  const accepted = [];
  const calls = [];
  const submit = async (id, shape, first) => {
    const status = await site.submit(id, toJob(shape), { first });
    if (status === 200) {
      accepted.push({ id, ...shape, acceptedAtMs: Math.round(performance.now() - site.startedAt) });
    }
  };
  if (isTroubled) {
    await submit(LARGE.id, LARGE, 0);
    if (accepted.length === 0) return 0;
  }
  for (let index = 0; index < SMALL_JOBS; index += 1) {
    calls.push(submit(toId(0x100 + index), SMALL, index));
    await delay(SMALL_EVERY_MS);
  }
  await Promise.all(calls);
  site.note('traffic ends');
  await delay(FINISH_MS);
  const untilMs = Math.round(performance.now() - site.startedAt);
  const demandOf = (id) => (id === LARGE.id ? LARGE : SMALL);
  let broken = 0;
  for (const job of accepted.filter(({ id }) => id !== LARGE.id)) {
    const state = await site.getState(job.id);
    const idle = findIdleStretch({
      events: site.events,
      job,
      demandOf,
      totalCpu: SERVERS * SERVER_CPU,
      serverCpu: SERVER_CPU,
      untilMs,
    });
    if (idle !== undefined) {
      broken += 1;
      site.note('LOST', { id: job.id, state, nothingRanFromMs: idle.fromMs, forMs: idle.ms });
    }
  }
  const tooLarge = site.store.tooLarge.at(-1);
  site.note('result', {
    accepted: accepted.length,
    broken,
    appendsRefusedForSize: site.store.tooLarge.length,
    newestRefused: tooLarge ?? null,
  });
  site.stop();
  return broken > 0 ? 1 : 0;
};

run().then(
  (code) => process.exit(code),
  (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  },
);
