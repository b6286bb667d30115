import { afterEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { leaderKeys } from '../../packages/leadership/leaderKeys';
import { topics } from '../../packages/serve/topics';

type CellBox = Cell['boxes'][number];

const JOBS = 20;
const JOB_EVERY_MS = 60;
const END_MS = 40_000;
const DOWN_MS = 300;
const MAX_LOG_BYTES = 2_000_000;
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
      const body = { spec: '100', steps: [{ count: 2, cpu: 1000, 'mem-mb': 100 }] };
      expect((await cell.sendJob(front, id, body)).status).toBe(200);
      await waitForDelay(JOB_EVERY_MS);
    }
    for (const id of ids) {
      await cell.startState(front, id, 'completed');
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
