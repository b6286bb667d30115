import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { request } from 'undici';
import { WebSocket } from 'ws';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { toId } from '../../packages/common/toId';
import type { JobId } from '../../packages/jobs/JobId';
import { jobKeys } from '../../packages/jobs/jobKeys';
import { leaderKeys } from '../../packages/leadership/leaderKeys';
import { relayPath } from '../../packages/relay/relayPath';
import { topics } from '../../packages/serve/topics';

type CellBox = Cell['boxes'][number];

const JOBS = 20;
const JOB_EVERY_MS = 60;
const END_MS = 40_000;
const DOWN_MS = 300;
const MAX_LOG_BYTES = 2_000_000;
const BODY = { spec: '100', steps: [{ count: 2, cpu: 1000, 'mem-mb': 100 }] };
const NEW_QUEUE = 'new';
const FRAME_MS = 50;
const RESPONSES_MS = 400;
/** Longer than a box takes to read the operator's topic. */
const CONFIGURATION_MS = 1500;
const OPERATOR_TOPIC = 'keyed.op';
const ENDPOINTS_TOPIC = 'keyed.servers';
const HUGE = Number.MAX_SAFE_INTEGER;

const createNested = (depth: number): string => `${'['.repeat(depth)}${']'.repeat(depth)}`;

const ENDPOINT = {
  service: 'service-a',
  address: '127.0.0.1:9',
  zone: 'hall-a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  'cold-remaining-ms': 0,
  'call-seq': 4,
  capacity: { cpu: 16_000, 'mem-mb': 32_000, gpu: 0 },
  labels: [],
};
const ADDRESSES = [
  'a%:80',
  '127.0.0.1:70000',
  '127.0.0.1:65536',
  '127.0.0.1:0',
  '1.2.3.999:80',
  '[:80',
  'xn--a:80',
];
const ENDPOINT_RECORDS: readonly object[] = [
  ...ADDRESSES.map((address) => ({ ...ENDPOINT, address })),
  { ...ENDPOINT, address: `${'a'.repeat(100_000)}:80` },
  { ...ENDPOINT, capacity: { cpu: HUGE, 'mem-mb': HUGE, gpu: HUGE }, slots: HUGE, address: '127.0.0.1:1' },
  { ...ENDPOINT, 'remaining-ms': 1e300, 'cold-remaining-ms': 1e300 },
  { ...ENDPOINT, labels: JSON.parse(createNested(1500)) as unknown },
  { ...ENDPOINT, other: JSON.parse(createNested(1500)) as unknown },
  { ...ENDPOINT, labels: Array.from({ length: 100_000 }, () => 1) },
];
const BOX_RECORDS: readonly object[] = [
  ...ADDRESSES.map((address) => ({ address, cores: 64, linkMbps: 1000 })),
  { address: '127.0.0.1:9', cores: 1e300, linkMbps: 1e300 },
  { address: '127.0.0.1:9', cores: -1, linkMbps: -1 },
];
const LEADER = { epoch: 50, box: 'ghost', address: '127.0.0.1:9', process: 'ghost-1', isResigned: true };
const LEADER_RECORDS: readonly object[] = [
  ...ADDRESSES.map((address) => ({ ...LEADER, address, successor: address })),
  ...ADDRESSES.map((address) => ({ ...LEADER, witnesses: [{ box: 'ghost', address, process: 'ghost-1' }] })),
  { ...LEADER, epoch: HUGE },
  { ...LEADER, epoch: 1e300 },
  { ...LEADER, epoch: -1 },
];
const OTHER_RECORDS: readonly object[] = [
  JSON.parse(createNested(1500)) as object,
  { value: '9'.repeat(100_000) },
  { id: toJobIdText(1), steps: [{ count: HUGE }] },
];

const QUEUE = {
  name: 'urgent',
  service: 'service-a',
  priority: 0,
  attempts: 1,
  stretch: 1.5,
  targetLatencyMs: 250,
  advice: { decisionMs: 5, perEndpointMs: 1, validityMs: 2500 },
};
const DEFINITION = {
  queue: QUEUE,
  spec: '100',
  steps: [{ count: 1, demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 }, estimatedMs: 100 }],
  times: 1,
  firstRunMs: 0,
  intervalMs: 0,
  acceptedAtMs: 1_700_000_000_000,
};
const DEFINITIONS: readonly object[] = [
  { ...DEFINITION, acceptedAtMs: 1e300 },
  { ...DEFINITION, acceptedAtMs: -1e300, firstRunMs: -1e300, intervalMs: -1e300, times: 3 },
  { ...DEFINITION, queue: { ...QUEUE, attempts: 1e300, stretch: -1e300, targetLatencyMs: 1e300 } },
  {
    ...DEFINITION,
    queue: { ...QUEUE, advice: { decisionMs: 1e300, perEndpointMs: 1e300, validityMs: 1e300 } },
  },
  { ...DEFINITION, queue: { ...QUEUE, advice: { decisionMs: -1e300, perEndpointMs: -1, validityMs: -1 } } },
  { ...DEFINITION, queue: { ...QUEUE, name: '__proto__', service: '__proto__' } },
  { ...DEFINITION, steps: [{ ...DEFINITION.steps[0], estimatedMs: 1e300, targetMs: -1e300 }] },
  {
    ...DEFINITION,
    steps: [{ ...DEFINITION.steps[0], demand: { cpuMillis: HUGE, memoryMb: HUGE, accelerators: HUGE } }],
  },
  { ...DEFINITION, steps: [{ ...DEFINITION.steps[0], dependsOn: [5] }] },
  {
    ...DEFINITION,
    customer: { name: '__proto__', weight: 1e300, limit: { cpuMillis: 1e300, memoryMb: 0, accelerators: 0 } },
  },
  { ...DEFINITION, spec: 'x'.repeat(200_000) },
  { ...DEFINITION, other: JSON.parse(createNested(1500)) as unknown },
];
const CONFIGURATION = {
  version: 100,
  routes: [{ name: 'urgent', host: 'jobs.example', 'path-prefix': '/urgent/', service: 'service-a' }],
  services: [{ name: 'service-a' }],
  limits: {},
};
const ROUTE = CONFIGURATION.routes[0];
const ADVICE = { 'decision-ms': 5, 'period-ms': 1, 'validity-ms': 2500 };
const CONFIGURATIONS: readonly unknown[] = [
  { ...CONFIGURATION, version: 1e300 },
  { ...CONFIGURATION, version: HUGE },
  { ...CONFIGURATION, routes: [{ ...ROUTE, advice: { ...ADVICE, 'decision-ms': 1e300 } }] },
  { ...CONFIGURATION, routes: [{ ...ROUTE, advice: { ...ADVICE, 'period-ms': -1 } }] },
  { ...CONFIGURATION, routes: Array.from({ length: 50_000 }, () => 1) },
  { ...CONFIGURATION, tenants: [{ name: 5 }] },
  JSON.parse(createNested(1500)) as unknown,
  'text',
  '',
];
const FRAMES = [
  createNested(20_000),
  '[{"kind":"open","client":1,"address":"a%:80","connections":1,"headers":{}}]',
  '[{"kind":"open","client":1,"address":"127.0.0.1:9","connections":1e300,"headers":{"a b":"c\\r\\nd"}}]',
  `[{"kind":"open","client":1,"address":"127.0.0.1:9","connections":1,"headers":{"a b":"c"}},
    {"kind":"call","client":1,"call":1,"path":"a b","body":{"other":${createNested(20_000)}},"timeoutMs":1},
    {"kind":"call","client":2,"call":2,"path":"/","body":{},"timeoutMs":1}]`,
  '[{"kind":"call","client":1,"call":1e300,"path":"/","body":{},"timeoutMs":1e300}]',
  'x'.repeat(1000),
];
const BODIES = [createNested(20_000), '{}', '[]', 'text', '9'.repeat(5000), '{"epoch":1e300}'];
const PATHS = ['leader', 'write', 'vouch', 'hand-over', 'advice', 'job-state', 'configuration', 'other'];
const REQUEST_BODIES: Readonly<Record<string, readonly object[]>> = {
  write: [
    { key: 'k'.repeat(300), value: '1', timeoutMs: 500 },
    { key: 'b/odd', value: '{"address":"a%:80","cores":9}', timeoutMs: 500 },
    { key: 'c/', value: '1', timeoutMs: 1e300 },
  ],
  leader: ADDRESSES.map((address) => ({ ...LEADER, address, cores: 1 })),
  advice: [{ step: 'x', endpoints: ['\r\n', ''], timeoutMs: 1e300 }],
  'job-state': [{ id: '', caller: {}, timeoutMs: -1 }],
};

/** Posts bodies that no box sends to the server for other boxes. */
const sendRequests = async ({ internal }: CellBox): Promise<void> => {
  for (const path of PATHS) {
    const bodies = [...BODIES, ...(REQUEST_BODIES[path] ?? []).map((body) => JSON.stringify(body))];
    for (const body of bodies) {
      const headers = { 'content-type': 'application/json' };
      const response = await request(`http://${internal}/${path}`, { method: 'POST', headers, body });
      await response.body.dump();
    }
  }
};

/** Sends each frame over a connection of its own to the call relay of a box. */
const sendFrames = async ({ internal }: CellBox): Promise<void> => {
  for (const frame of FRAMES) {
    const socket = new WebSocket(`ws://${internal}${relayPath}`);
    socket.on('error', () => undefined);
    await new Promise((resolve) => socket.once('open', resolve));
    socket.send(frame);
    await waitForDelay(FRAME_MS);
    socket.terminate();
  }
};

const KEYS = ['j/0000000000000001', 'c/', 'e/x/y', 's/1', 'digest', 'b/'];

const writeRecords: Readonly<Record<string, (cell: Cell) => Promise<void> | void>> = {
  'records of endpoints': ({ log }) => {
    ENDPOINT_RECORDS.forEach((record, index) => log.writeRecord(ENDPOINTS_TOPIC, `odd-${index}`, record));
    log.writeRecord(ENDPOINTS_TOPIC, 'with\r\nline breaks', ENDPOINT);
    log.writeRecord(ENDPOINTS_TOPIC, 'ünicode', ENDPOINT);
  },
  'announcements of boxes': ({ log }) => {
    BOX_RECORDS.forEach((record, index) => log.writeRecord(topics.jobs, `b/odd-${index}`, record));
  },
  'records of leaders': async (cell) => {
    LEADER_RECORDS.forEach((record) => cell.log.writeRecord(topics.states, leaderKeys.recordKey, record));
    const leader = cell.readLeaders()[0]!;
    leader.process.sendSignal('SIGKILL');
    await waitForDelay(DOWN_MS);
    cell.startBox(leader);
    await cell.startReady(leader);
    await cell.startLeader();
  },
  'definitions of jobs': ({ log }) => {
    DEFINITIONS.forEach((definition, index) => {
      const id = toJobIdText(index + 1);
      log.writeRecord(topics.jobs, jobKeys.toDefinitionKey(toId<JobId>(id)), { id, ...definition });
    });
  },
  'configurations, and follow the next one,': async (cell) => {
    CONFIGURATIONS.forEach((configuration) => cell.log.writeRecord(OPERATOR_TOPIC, 'config', configuration));
    await waitForDelay(CONFIGURATION_MS);
    cell.writeConfiguration(2, [NEW_QUEUE]);
    await cell.startUntil(async () => {
      const answers = await Promise.all(
        cell.boxes.map((box) => cell.sendJob(box, toJobIdText(50), BODY, NEW_QUEUE)),
      );
      return answers.every(({ status }) => status === 200);
    });
  },
  'responses of the advice service': async (cell) => {
    const bodies = [
      '7',
      createNested(20_000),
      '{"good":[[1]]}',
      '{"good":[["i-0","a\\r\\nb"]]}',
      '{"good":{}}',
    ];
    for (const [index, body] of bodies.entries()) {
      cell.advice.setReplacedBody(body);
      await cell.sendJob(cell.boxes[0]!, toJobIdText(index + 60), BODY, 'advised');
      await waitForDelay(RESPONSES_MS);
    }
    cell.advice.setReplacedBody(undefined);
  },
  'requests and frames of another box': async ({ boxes }) => {
    await Promise.all(boxes.map(sendRequests));
    await Promise.all(boxes.map(sendFrames));
  },
  'records of other shapes': ({ log }) => {
    for (const topic of [topics.jobs, topics.states, topics.progress, ENDPOINTS_TOPIC]) {
      KEYS.forEach((key) => OTHER_RECORDS.forEach((record) => log.writeRecord(topic, key, record)));
    }
  },
};

const writeResponses: Readonly<Record<string, readonly [field: string, value: string]>> = {
  'responses of an endpoint that are nested too deeply to be formatted': ['other', createNested(6000)],
  'responses of an endpoint with an end of an unknown kind': [
    'end-time',
    JSON.stringify([[1, `${toJobIdText(1)}.0.0.0`, 1, 'vanished', '']]),
  ],
  'responses of an endpoint of several megabytes': ['other', JSON.stringify('x'.repeat(6_000_000))],
};

describe.each([
  ['a leader that relays calls', 0.02],
  ['a leader without relays', 1],
])('with %s, the boxes go on and complete all jobs beside', (_name, coresPerBox) => {
  let cell: Cell;

  afterEach(async () => {
    await cell.stop();
  });

  const checkJobs = async (front: CellBox): Promise<void> => {
    const ids = Array.from({ length: JOBS }, (_, index) => toJobIdText(index + 100));
    for (const id of ids) {
      expect((await cell.sendJob(front, id, BODY, 'advised')).status).toBe(200);
      await waitForDelay(JOB_EVERY_MS);
    }
    for (const id of ids) {
      await cell.startState(front, id, 'completed', END_MS, 'advised');
    }
    expect(cell.boxes.map(({ process }) => process.isAlive())).toEqual([true, true, true]);
    expect(cell.runChecker.getViolations()).toEqual([]);
    const logBytes = cell.boxes.map(({ process }) => process.readOutput().length);
    expect(Math.max(...logBytes)).toBeLessThan(MAX_LOG_BYTES);
  };

  it.each(Object.entries(writeRecords))(
    '%s that no box or endpoint has written',
    async (_records, write) => {
      cell = await Cell.create({ boxes: 3, executors: 4, roomPerExecutor: 8, keepsIds: true, coresPerBox });
      await cell.startLeader();
      await write(cell);
      await checkJobs(cell.boxes[0]!);
    },
    END_MS,
  );

  it.each(Object.entries(writeResponses))(
    '%s',
    async (_responses, [field, value]) => {
      cell = await Cell.create({ boxes: 3, executors: 4, roomPerExecutor: 8, keepsIds: true, coresPerBox });
      await cell.startLeader();
      cell.executors[0]!.standin.setExtraField(field, value);
      await checkJobs(cell.boxes[0]!);
    },
    END_MS,
  );
});
