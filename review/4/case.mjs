// All machines but one are taken away for good. The one that is left has the time to ask for advice, but its jobs wait for many seconds.
import { createServer } from 'node:net';
import { fileURLToPath } from 'node:url';
import { Advice } from '../tools-2/Advice.mjs';
import { Deployed, ROUTE, delay, toId } from '../tools-2/Deployed.mjs';
import { findIdleStretch } from '../tools-2/findIdleStretch.mjs';

const isTroubled = process.env.TROUBLE !== '0';
const BOXES = 7;
const SERVERS = 33;
const SERVER_CPU = 16_000;
const TRAFFIC_MS = 50_000;
const FINISH_MS = 14_000;
const CALM_MS = 12_000;
const BUILD = { count: 4, cpu: 1000, ms: 1000, everyMs: 1250, base: 0x1000 };
const REFRESH = { count: 3, cpu: 500, ms: 400, everyMs: 250, base: 0x2000 };
const BUILD_ADVICE = { 'decision-ms': 528, 'period-ms': 5.3, 'validity-ms': 2500 };
const REFRESH_ADVICE = { 'decision-ms': 27, 'period-ms': 0.28, 'validity-ms': 2500 };

const routes = [
  { ...ROUTE, advice: BUILD_ADVICE },
  {
    ...ROUTE,
    name: 'r-refresh',
    'path-prefix': '/refresh/',
    'target-latency-ms': 250,
    priority: 0,
    attempts: 2,
    stretch: 1.5,
    advice: REFRESH_ADVICE,
  },
];
const isBuild = (id) => Number.parseInt(id, 16) < REFRESH.base;
const shapeOf = (id) => (isBuild(id) ? BUILD : REFRESH);
const toJob = ({ count, cpu, ms }) => ({
  spec: `ms=${ms}`,
  steps: [{ count, cpu, 'mem-mb': 64, 'estimated-ms': ms }],
});

/** Takes the place of a machine that says nothing: connections to its address hang. */
const startSilence = (port) =>
  new Promise((resolve) => {
    const server = createServer((socket) => socket.on('error', () => undefined));
    server.on('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });

const run = async () => {
  const recordFile = fileURLToPath(new URL('record.txt', import.meta.url));
  const site = new Deployed({ recordFile, boxCount: BOXES, serverCount: SERVERS });
  const advice = new Advice((job) =>
    isBuild(job) ? { ...BUILD_ADVICE, share: 0.35 } : { ...REFRESH_ADVICE, share: 0.7 },
  );
  await site.start({
    routes,
    serverOptions: () => ({ refuse: (body, server) => advice.refuse(body, server) }),
    boxAdvice: (index) => advice.listen(index),
  });
  if (!(await site.waitReady())) return 2;
  await delay(2000);
  const now = () => Math.round(performance.now() - site.startedAt);
  const [left, ...others] = site.boxes;
  if (isTroubled) {
    for (const box of others) {
      site.note('machine taken away', { box: box.name });
      box.child.kill('SIGKILL');
    }
    await delay(300);
    await Promise.all(others.map(({ internal }) => startSilence(internal)));
    site.boxes = [left];
  }
  await delay(CALM_MS);
  const workBefore = advice.work[0].ms;
  const trafficFrom = now();
  const accepted = [];
  const send = async (shape) => {
    for (let index = 0; index * shape.everyMs < TRAFFIC_MS; index += 1) {
      const id = toId(shape.base + index);
      const prefix = shape === BUILD ? '/build/' : '/refresh/';
      const call = site.submit(id, toJob(shape), { first: index, prefix }).then((status) => {
        if (status === 200) accepted.push({ id, prefix, ...shape, acceptedAtMs: now() });
      });
      await Promise.all([call, delay(shape.everyMs)]);
    }
  };
  await Promise.all([send(BUILD), send(REFRESH)]);
  const busyShare = (advice.work[0].ms - workBefore) / (now() - trafficFrom);
  site.note('traffic ends', { shareOfTimeInAdviceOfTheFirstMachine: Number(busyShare.toFixed(2)) });
  await delay(FINISH_MS);
  const untilMs = now();
  let broken = 0;
  let longestMs = 0;
  for (const job of accepted) {
    const idle = findIdleStretch({
      events: site.events,
      job,
      demandOf: shapeOf,
      totalCpu: SERVERS * SERVER_CPU,
      serverCpu: SERVER_CPU,
      untilMs,
    });
    if (idle !== undefined) {
      broken += 1;
      longestMs = Math.max(longestMs, idle.ms);
      site.note('LOST', { id: job.id, nothingRanFromMs: idle.fromMs, forMs: idle.ms });
    }
  }
  site.note('result', { accepted: accepted.length, broken, longestMs, adviceOfEachMachine: advice.work });
  advice.stop();
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
