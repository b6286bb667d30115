/*
 * Data of other processes must not end this one, whatever it is: neither where it is parsed, nor where clients, frames and log lines are made of it.
 */
import fc from 'fast-check';
import { describe, expect, it, vi } from 'vitest';
import { BoxDirectory } from '../packages/boxes/BoxDirectory';
import { HttpClient } from '../packages/common/HttpClient';
import { HttpJsonClient } from '../packages/common/HttpJsonClient';
import { systemClock } from '../packages/common/systemClock';
import { LeaderWatch } from '../packages/leadership/LeaderWatch';
import { leaderRecordSchema } from '../packages/leadership/leaderRecordSchema';
import { DecisionLog } from '../packages/logging/DecisionLog';
import { formatAnswer } from '../packages/relay/formatAnswer';
import { parseFrame } from '../packages/relay/parseFrame';
import type { RelayCallId } from '../packages/relay/RelayCallId';
import { RelayConnection } from '../packages/relay/RelayConnection';
import type { RelayEnd } from '../packages/relay/RelayEnd';
import { relayReplySchema } from '../packages/relay/relayReplySchema';
import { HttpLogClient } from '../platform/HttpLogClient';
import { parseEndpointRecord } from '../platform/parseEndpointRecord';

const SEED = Number(process.env['STAIRLINE_RECORD_SEED'] ?? 20261205);
const RUNS = Number(process.env['STAIRLINE_RECORD_RUNS'] ?? 300);
const MAX_LINE_LENGTH = 70_000;
const TIMEOUT_MS = 200;

const createNested = (depth: number): unknown => JSON.parse(`${'['.repeat(depth)}${']'.repeat(depth)}`);

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

const hosts = fc.oneof(
  fc.constantFrom(
    '127.0.0.1',
    '256',
    '1.2.3.999',
    'a%',
    '%41',
    '[',
    '[::1]',
    '::1',
    'a..b',
    'xn--a',
    'a_b',
    '-',
    '.',
    '',
  ),
  fc.string({ maxLength: 8 }),
  fc.string({ unit: 'binary', maxLength: 8 }),
);
const ports = fc.oneof(fc.integer({ min: -1, max: 70_000 }).map(String), fc.string({ maxLength: 6 }));
const addresses = fc.oneof(
  fc.tuple(hosts, ports).map(([host, port]) => `${host}:${port}`),
  fc.string({ maxLength: 12 }),
);

const createConnection = (address: string): Promise<RelayEnd> =>
  new Promise((resolve) => {
    const connection = new RelayConnection({
      address,
      clock: systemClock,
      handleOpen: () => undefined,
      handleClosed: resolve,
    });
    setImmediate(() => setImmediate(() => connection.stop('test')));
  });

describe('an address of another process', () => {
  it('is accepted only if it makes a URL with its host and port', () => {
    fc.assert(
      fc.property(addresses, (address) => {
        const directory = new BoxDirectory();
        const value = JSON.stringify({ address, cores: 1 });
        directory.foldRecords([{ offset: 0, key: 'b/x', value }]);
        const leader = { epoch: 1, box: 'x', process: 'p', isResigned: false, address };
        const accepted = [
          parseEndpointRecord('i-1', JSON.stringify({ ...ENDPOINT, address })).ok,
          directory.listBoxes().length === 1,
          leaderRecordSchema.safeParse(leader).success,
          leaderRecordSchema.safeParse({ ...leader, address: undefined, successor: address }).success,
        ];
        const { port, pathname, username } = URL.canParse(`http://${address}`)
          ? new URL(`http://${address}`)
          : { port: '', pathname: '', username: '' };
        const isUsable = (port !== '' || address.endsWith(':80')) && pathname === '/' && username === '';
        expect(accepted.every((isAccepted) => isAccepted === accepted[0])).toBe(true);
        expect(!accepted[0] || isUsable).toBe(true);
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });

  it.each(['a%:80', '[:80', '127.0.0.1:70000', ''])(
    'that makes no client lets calls fail, and nothing else: %s',
    async (address) => {
      const client = new HttpClient({ address, connections: 1 });
      const request = { method: 'GET', path: '/', timeoutMs: TIMEOUT_MS } as const;
      await expect(client.sendRequest(request)).resolves.toMatchObject({ kind: 'refused' });
      await expect(client.sendRequest(request)).resolves.toMatchObject({ kind: 'refused' });
      await expect(client.stop()).resolves.toBeUndefined();
      await expect(createConnection(address)).resolves.toMatchObject({ wasOpen: false });
      const watch = new LeaderWatch({ handleProcessEnded: () => undefined });
      expect(() => watch.setLeader({ process: 'p', address })).not.toThrow();
      watch.setLeader(undefined);
    },
  );
});

describe('a value of another process', () => {
  it.each([
    ['a header with a line break', { headers: { id: 'a\r\nb' } }],
    ['a path with a space', { path: '/a b' }],
  ])('that makes no request lets the call fail as not sent: %s', async (_name, fields) => {
    const client = new HttpClient({ address: '127.0.0.1:9', connections: 1 });
    const request = { method: 'GET', path: '/', timeoutMs: TIMEOUT_MS, ...fields } as const;
    await expect(client.sendRequest(request)).resolves.toMatchObject({ kind: 'refused' });
    await client.stop();
  });

  it('that is nested too deeply to be formatted lets the call fail as not sent', async () => {
    const client = new HttpJsonClient({ address: '127.0.0.1:9', connections: 1, headers: {} });
    const request = { path: '/', body: { value: createNested(20_000) }, timeoutMs: TIMEOUT_MS };
    await expect(client.sendJsonRequest(request)).resolves.toMatchObject({ kind: 'refused' });
    await client.stop();
  });

  it('that is a key too long for the log lets the append fail as not sent, and never to be sent', async () => {
    const client = new HttpLogClient({ address: '127.0.0.1:9' });
    const writes = [{ key: 'k'.repeat(300), value: '' }];
    const append = client.append({ topic: 't', writes, timeoutMs: TIMEOUT_MS });
    await expect(append).resolves.toMatchObject({ ok: false, error: { kind: 'rejected' } });
    await client.stop();
  });

  it('reaches the leader in the frame of a relay as it was, beside the responses of other endpoints', () => {
    const bodies = fc.oneof(
      fc.jsonValue().map((value) => JSON.stringify(value)),
      fc.integer({ min: 1, max: 20_000 }).map((depth) => `${'['.repeat(depth)}${']'.repeat(depth)}`),
      fc.string(),
      fc.constantFrom('', '{}x', '],[', '{"a":1},{"b":2}', '1,2'),
    );
    fc.assert(
      fc.property(fc.array(bodies, { minLength: 1, maxLength: 4 }), (texts) => {
        const answers = texts.map((text, index) => formatAnswer(index as RelayCallId, 200, text));
        const replies = parseFrame(relayReplySchema, `[${answers.join(',')}]`);
        expect(replies?.map((reply) => (reply.kind === 'answer' ? reply.call : undefined))).toEqual(
          texts.map((_text, index) => index),
        );
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});

describe('a field of a log line', () => {
  const writeLine = (fields: Record<string, unknown>): string => {
    const write = vi.fn<(line: string) => void>();
    const log = new DecisionLog({
      box: 'box-0',
      writeLine: write,
      getBacklogBytes: () => 0,
      getNow: () => 1000,
      getWallMs: () => 0,
      maxLinesPerSecond: 100,
    });
    log.createLogger('test').error('Something happened.', fields);
    return write.mock.calls[0]![0];
  };

  it.each([
    ['is nested too deeply to be formatted', { value: createNested(20_000) }],
    ['is a number without a JSON form', { value: 5n }],
    ['is a text of several megabytes', { value: 'x'.repeat(6_000_000) }],
    ['has many elements', { value: Array.from({ length: 500_000 }, () => 'x') }],
  ])('that %s is shortened, and the others are written as they are', (_name, odd) => {
    const others = { job: 'j', count: 3, causes: { room: 5 } };
    const line = writeLine({ ...odd, ...others });
    expect(line.length).toBeLessThan(MAX_LINE_LENGTH);
    expect(JSON.parse(line)).toMatchObject({ message: 'Something happened.', ...others, isShortened: true });
  });

  it('that describes an invalid record has a bounded length', () => {
    const labels = Array.from({ length: 20_000 }, () => 1);
    const parsed = parseEndpointRecord('i-1', JSON.stringify({ ...ENDPOINT, labels }));
    expect(parsed.ok || parsed.error.length < 1000).toBe(true);
    expect(parsed.ok).toBe(false);
  });
});
