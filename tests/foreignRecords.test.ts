/*
 * Records of foreign writers may be malformed in any way. They must be rejected without a crash, and without an effect on other records.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { BoxDirectory } from '../packages/boxes/BoxDirectory';
import { formatDefinition } from '../packages/jobs/formatDefinition';
import { progressTexts } from '../packages/jobs/progressTexts';
import type { JobId } from '../packages/jobs/JobId';
import { jobKeys } from '../packages/jobs/jobKeys';
import { JobProgress } from '../packages/jobs/JobProgress';
import { JobReplica } from '../packages/jobs/JobReplica';
import { parseDefinition } from '../packages/jobs/parseDefinition';
import { parseProgress } from '../packages/jobs/parseProgress';
import { parseTaskName } from '../packages/jobs/parseTaskName';
import { logFrames } from '../platform/logFrames';
import { parseCallerKey } from '../platform/parseCallerKey';
import { parseConfiguration } from '../platform/parseConfiguration';
import { parseEndpointRecord } from '../platform/parseEndpointRecord';
import { parseJobBody } from '../platform/parseJobBody';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

const SEED = Number(process.env['STAIRLINE_RECORD_SEED'] ?? 20261203);
const RUNS = Number(process.env['STAIRLINE_RECORD_RUNS'] ?? 400);
const DEFINITION = createJobDefinition(1, [createStep({ count: 2 })]);
const ENDPOINT = {
  service: 'service-a',
  address: '10.0.0.1:80',
  zone: 'hall-a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  'cold-remaining-ms': 0,
  'call-seq': 4,
  capacity: { cpu: 16_000, 'mem-mb': 32_000, gpu: 0 },
  labels: ['a', 'r1-1'],
  born: 1_775_000_000_000,
};
const CONFIGURATION = {
  version: 3,
  routes: [{ name: 'r', host: 'h.example', 'path-prefix': '/p/', service: 's', priority: 1, attempts: 2 }],
  services: [{ name: 's' }],
  tenants: [{ name: 't', 'api-keys': ['k'], weight: 1, 'upper-limit': { cpu: 1, 'mem-mb': 1, gpu: 0 } }],
};
const SUBMISSION = { spec: '1', steps: [{ count: 2, cpu: 100, 'mem-mb': 100, 'estimated-ms': 10 }] };

/** Generates valid JSON with one value replaced, other JSON, and text that is no JSON. */
const createTexts = (valid: unknown): fc.Arbitrary<string> => {
  const text = JSON.stringify(valid);
  const values = fc.jsonValue({ maxDepth: 3 });
  const changed = fc.tuple(fc.nat(), values).map(([place, value]) => {
    let seen = 0;
    const copy: unknown = JSON.parse(text, (_key, old: unknown) => {
      seen += 1;
      return seen === (place % 40) + 1 ? value : old;
    });
    return JSON.stringify(copy) ?? '';
  });
  const cut = fc.nat({ max: text.length }).map((length) => text.slice(0, length));
  const bytes = fc.uint8Array({ maxLength: 200 }).map((array) => Buffer.from(array).toString('utf8'));
  const long = fc.constantFrom(`"${'x'.repeat(300_000)}"`, `[${'1,'.repeat(50_000)}1]`, '9'.repeat(5000));
  const other = values.map((value) => JSON.stringify(value) ?? '');
  return fc.oneof(changed, cut, bytes, long, other);
};

const checkProperty = (texts: fc.Arbitrary<string>, check: (text: string) => void): void => {
  fc.assert(fc.property(texts, check), { numRuns: RUNS, seed: SEED });
};

const isUsableNumber = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

describe('records of endpoints', () => {
  const parse = (fields: object, id = 'i-1') =>
    parseEndpointRecord(id, JSON.stringify({ ...ENDPOINT, ...fields }));

  it('parse to an incarnation when valid, with and without a start time', () => {
    expect(parse({})).toMatchObject({
      ok: true,
      value: { incarnation: 'i-1@1775000000000', isDraining: false },
    });
    expect(parse({ born: undefined })).toMatchObject({ ok: true, value: { incarnation: 'i-1' } });
    expect(parse({ state: 'draining', 'remaining-ms': 900 })).toMatchObject({
      ok: true,
      value: { isDraining: true, minDrainMs: 900 },
    });
  });

  it.each(Object.keys(ENDPOINT).filter((field) => field !== 'born'))('are rejected without %s', (field) => {
    expect(parse({ [field]: undefined }).ok).toBe(false);
    expect(parse({ [field]: null }).ok).toBe(false);
    expect(parse({ [field]: [[]] }).ok).toBe(false);
  });

  it.each([
    ['an unknown state', { state: 'resting' }],
    ['a numeric state', { state: 1 }],
    ['an empty service', { service: '' }],
    ['an empty address', { address: '' }],
    ['an address without a port', { address: 'nowhere' }],
    ['an invalid port', { address: '10.0.0.1:99999' }],
    ['negative capacity', { capacity: { cpu: -1, 'mem-mb': 1, gpu: 0 } }],
    ['incomplete capacity', { capacity: { cpu: 1, 'mem-mb': 1 } }],
    ['a start time that is a string', { born: '1775000000000' }],
    ['a fractional start time', { born: 1.5 }],
    ['a negative start time', { born: -1 }],
    ['a null start time', { born: null }],
    ['labels of another type', { labels: [1] }],
    ['replacement characters', { labels: ['\uFFFD'] }],
  ])('are rejected with %s', (_name, fields) => {
    expect(parse(fields).ok).toBe(false);
  });

  it('are rejected under an id that could name an incarnation, and under an empty one', () => {
    expect(parse({}, 'i-1@5').ok).toBe(false);
    expect(parse({}, '').ok).toBe(false);
  });

  it('are rejected, or parse to an endpoint with a usable address and capacity', () => {
    checkProperty(createTexts(ENDPOINT), (text) => {
      const parsed = parseEndpointRecord('i-1', text);
      if (parsed.ok) {
        expect(parsed.value.address).toMatch(/^[^\s:]+:\d+$/);
        expect(Object.values(parsed.value.capacity).every(isUsableNumber)).toBe(true);
      }
    });
  });
});

describe('other records and requests', () => {
  it.each([
    ['configurations', CONFIGURATION, (text: string) => parseConfiguration(text)],
    ['submissions', SUBMISSION, (text: string) => parseJobBody(Buffer.from(text))],
    ['keys', 'Token k', (text: string) => parseCallerKey(text)],
    ['names of tasks', '0000000000000001.0.0.0', (text: string) => parseTaskName(text)],
    [
      'definitions',
      JSON.parse(formatDefinition(DEFINITION)),
      (text: string) => parseDefinition(DEFINITION.id, text),
    ],
    [
      'boxes',
      { address: 'a:1', cores: 1 },
      (text: string) => new BoxDirectory().foldRecords([{ offset: 0, key: 'b/x', value: text }]),
    ],
  ])('are parsed or rejected without an exception: %s', (_name, valid, parse) => {
    checkProperty(createTexts(valid), (text) => {
      parse(text);
    });
  });

  it('of progress are parsed completely or not at all', () => {
    const progress = new JobProgress(DEFINITION);
    progress.recordRunPlaced({ repetition: 0, step: 0, index: 0 }, 1, toId('i-1@5'));
    const valid: unknown = JSON.parse(progressTexts.formatWhole(DEFINITION, progress));
    checkProperty(createTexts(valid), (text) => {
      const read = parseProgress(DEFINITION, { text: text });
      const runs = read?.listTasks(0, 0).map(({ runNumber }) => runNumber) ?? [];
      expect(runs.every(isUsableNumber)).toBe(true);
    });
  });

  it('of jobs are reported when invalid, while valid ones beside them are accepted', () => {
    const replica = new JobReplica();
    const bad = toId<JobId>('000000000000000f');
    const huge = { ...DEFINITION, id: bad, steps: [createStep({ count: 1_000_000_000 })] };
    const change = replica.foldJobRecords([
      { key: jobKeys.toDefinitionKey(bad), value: '\u0000{' },
      { key: jobKeys.toDefinitionKey(bad), value: formatDefinition(DEFINITION) },
      { key: jobKeys.toDefinitionKey(bad), value: formatDefinition(huge) },
      { key: jobKeys.toDefinitionKey(DEFINITION.id), value: formatDefinition(DEFINITION) },
    ]);
    expect(change.invalid).toEqual([bad, bad, bad]);
    expect(change.accepted.map(({ id }) => id)).toEqual([DEFINITION.id]);
  });

  it('of the log are parsed whatever their bytes are', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 5 }), (payloads) => {
        const frames = payloads.map((payload) => {
          const length = Buffer.alloc(4);
          length.writeUInt32BE(payload.length);
          return Buffer.concat([length, payload]);
        });
        const { records } = logFrames.parseRecords(7, Buffer.concat([Buffer.alloc(16), ...frames]))!;
        expect(records.map(({ offset }) => offset)).toEqual(payloads.map((_payload, index) => 7 + index));
      }),
      { numRuns: RUNS, seed: SEED },
    );
  });
});
