// A version of the configuration replaces a service by another one. A job that was accepted before waits for the old service for good.
import { fileURLToPath } from 'node:url';
import { Deployed, ROUTE, delay, toId } from '../tools-2/Deployed.mjs';
import { findIdleStretch } from '../tools-2/findIdleStretch.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const OLD = 'plan-service';
const NEW = 'plan-service-2';
const SERVERS_EACH = 6;
const SERVER_CPU = 16_000;
const CONFIG_APPLY_MS = 2000;
const CALM_MS = 4000;
const FINISH_MS = 14_000;
/** Fills the old service: one task takes a server. */
const LASTING = { id: toId(0x500), count: SERVERS_EACH, cpu: SERVER_CPU, ms: 600_000 };
const WAITING = { id: toId(0x501), count: 4, cpu: 1000, ms: 500 };
const LATER = { id: toId(0x502), count: 4, cpu: 1000, ms: 500 };

const lastingRoute = { ...ROUTE, name: 'r-render', 'path-prefix': '/render/', priority: 1 };
const toJob = ({ count, cpu, ms }, extra = {}) => ({
  spec: `ms=${ms}`,
  steps: [{ count, cpu, 'mem-mb': 64, 'estimated-ms': 500, ...extra }],
});

const run = async () => {
  const recordFile = fileURLToPath(new URL('record.txt', import.meta.url));
  const site = new Deployed({ recordFile, boxCount: 3, serverCount: 2 * SERVERS_EACH });
  const services = [OLD, NEW];
  await site.start({
    routes: [ROUTE, lastingRoute],
    services,
    serverOptions: (index) => ({ service: index < SERVERS_EACH ? OLD : NEW }),
  });
  if (!(await site.waitReady())) return 2;
  const now = () => Math.round(performance.now() - site.startedAt);
  const lasting = await site.submit(LASTING.id, toJob(LASTING, { 'long-running': true }), {
    prefix: '/render/',
  });
  await delay(3000);
  const waiting = await site.submit(WAITING.id, toJob(WAITING));
  if (lasting !== 200 || waiting !== 200) return 2;
  await delay(4000);
  if (isTroubled) {
    const moved = [ROUTE, lastingRoute].map((route) => ({ ...route, service: NEW }));
    site.putConfig(2, moved, [NEW]);
    site.note('config', { version: 2, queues: moved.map(({ name }) => name), service: NEW, services: [NEW] });
  }
  const changedAtMs = now();
  await delay(CONFIG_APPLY_MS + CALM_MS);
  const later = await site.submit(LATER.id, toJob(LATER));
  await delay(FINISH_MS);
  const untilMs = now();
  const states = { waiting: await site.getState(WAITING.id), later: await site.getState(LATER.id) };
  // The service that the newest configuration names for the queue, and its servers.
  const inForce = site.servers.filter(({ service }) => service === (isTroubled ? NEW : OLD));
  const ids = new Set(inForce.map(({ id }) => id));
  const idle = findIdleStretch({
    events: site.events.filter(({ server, task }) => ids.has(server) || task?.startsWith(WAITING.id)),
    job: { ...WAITING, acceptedAtMs: changedAtMs + CONFIG_APPLY_MS + CALM_MS },
    demandOf: (id) => [LASTING, WAITING, LATER].find((job) => job.id === id),
    totalCpu: SERVERS_EACH * SERVER_CPU,
    serverCpu: SERVER_CPU,
    untilMs,
  });
  if (idle !== undefined) {
    site.note('LOST', {
      id: WAITING.id,
      state: states.waiting,
      nothingRanFromMs: idle.fromMs,
      forMs: idle.ms,
    });
  }
  site.note('result', { ...states, laterGot: later });
  site.stop();
  return idle === undefined ? 0 : 1;
};

run().then(
  (code) => process.exit(code),
  (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(2);
  },
);
