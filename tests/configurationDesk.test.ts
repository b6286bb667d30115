import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import type { BoxClient } from '../packages/boxes/BoxClient';
import type { ConfigurationResponse } from '../packages/boxes/ConfigurationResponse';
import { createRandom } from '../packages/common/createRandom';
import { QueueRouter } from '../packages/gateway/QueueRouter';
import { ConfigurationDesk } from '../packages/serve/ConfigurationDesk';
import type { ConfigurationSource } from '../packages/serve/ConfigurationSource';
import { parseConfiguration } from '../platform/parseConfiguration';

const KEY = 'config';
const ALL_KEYS = ['key-a', 'key-b', 'key-c', 'key-d'];

const createText = (version: number, keys: readonly string[]): string =>
  JSON.stringify({ version, routes: [], tenants: [{ name: 'clinic', 'api-keys': keys }] });

/** A box on a clock that the test moves, with a log that may turn it away. */
class TestBox {
  readonly router = new QueueRouter();
  readonly lines: string[] = [];
  isFollowing = true;
  followedAt = 0;
  others: { readonly box: string; readonly client: BoxClient }[] = [];
  readonly desk: ConfigurationDesk;

  constructor(
    readonly name: string,
    readNow: () => number,
    source: ConfigurationSource,
    maxAgeMs: number | undefined,
    seed: number,
  ) {
    const record = (sentence: string): void => void this.lines.push(sentence);
    this.desk = new ConfigurationDesk({
      adapter: { configurationKey: KEY, parseConfiguration },
      router: this.router,
      source,
      clock: { readNow, readWall: readNow, readLongestSince: (since) => readNow() - since },
      random: createRandom(seed),
      logger: { info: record, warn: record, error: record },
      maxAgeMs,
      isFollowing: () => this.isFollowing,
      readFollowedAt: () => this.followedAt,
      readOthers: () => this.others,
    });
  }

  readVersion(): number {
    return this.router.readConfiguration()?.version ?? -1;
  }

  readWorkingKeys(): readonly string[] {
    return ALL_KEYS.filter((key) => this.router.readCustomers().findByKey(key) !== undefined);
  }

  handleText(text: string): void {
    this.desk.handleRecords([{ offset: 0, key: KEY, value: text }]);
  }
}

const startTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

describe('the configuration of a box', () => {
  let now: number;
  let askedVersions: number[];

  beforeEach(() => {
    [now, askedVersions] = [1000, []];
  });

  const createBox = (source: ConfigurationSource, maxAgeMs?: number): TestBox =>
    new TestBox('box-0', () => now, source, maxAgeMs, 1);

  const createOther = (answer: ConfigurationResponse | undefined): TestBox['others'][number] => ({
    box: 'box-1',
    client: {
      requestConfiguration: (version: number) => {
        askedVersions.push(version);
        return Promise.resolve(answer);
      },
    } as unknown as BoxClient,
  });

  const createConfiguration = (version: number, keys: readonly string[]) => {
    const parsed = parseConfiguration(createText(version, keys));
    if (!parsed.ok) {
      throw new Error('malformed');
    }
    return parsed.value;
  };

  it('comes from another box while the log does not answer, and not while it does', async () => {
    const box = createBox('boxes');
    box.handleText(createText(1, ['key-a']));
    box.others = [createOther({ ageMs: 40, configuration: createConfiguration(2, ['key-b']) })];
    box.desk.handleTick();
    await startTurn();
    expect([askedVersions, box.readVersion()]).toEqual([[], 1]);
    box.isFollowing = false;
    box.desk.handleTick();
    box.desk.handleTick();
    await startTurn();
    expect([askedVersions, box.readVersion(), box.readWorkingKeys()]).toEqual([[1], 2, ['key-b']]);
    now += 300;
    box.desk.handleTick();
    await startTurn();
    expect(askedVersions).toEqual([1, 2]);
  });

  it('comes from the log alone when so set', async () => {
    const box = createBox('log');
    box.isFollowing = false;
    box.others = [createOther({ ageMs: 0, configuration: createConfiguration(2, []) })];
    box.desk.handleTick();
    await startTurn();
    expect([askedVersions, box.readVersion()]).toEqual([[], -1]);
  });

  it('is asked for again after a box that gave no answer', async () => {
    const box = createBox('boxes');
    box.isFollowing = false;
    box.others = [createOther(undefined)];
    for (let question = 1; question <= 3; question += 1) {
      box.desk.handleTick();
      await startTurn();
      expect(askedVersions).toHaveLength(question);
      now += 250;
    }
  });

  it('is fresh for as long as the log, or another box, has shown that it is the newest', async () => {
    const box = createBox('boxes', 4000);
    box.followedAt = now;
    now += 3900;
    expect(box.desk.isFresh()).toBe(true);
    now += 200;
    expect(box.desk.isFresh()).toBe(false);
    box.isFollowing = false;
    box.others = [createOther({ ageMs: 1500 })];
    box.desk.handleTick();
    await startTurn();
    expect(Math.round(box.desk.getAgeMs())).toBe(1500);
    expect(box.desk.isFresh()).toBe(true);
    expect(createBox('boxes').desk.isFresh()).toBe(true);
  });

  it('stays as it is when a version is malformed, with one line that tells it', () => {
    const box = createBox('boxes');
    box.handleText(createText(1, ['key-a']));
    box.handleText('{"version":2}');
    expect([box.readVersion(), box.readWorkingKeys()]).toEqual([1, ['key-a']]);
    expect(box.lines).toEqual(['Configuration in force.', 'Configuration is malformed and left out.']);
  });
});

describe('versions on several boxes', () => {
  type Step = { readonly kind: 'write' | 'read' | 'turnAway' | 'letIn' | 'ask'; readonly box: number };

  const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom('write', 'read', 'turnAway', 'letIn', 'ask'),
    box: fc.integer({ min: 0, max: 2 }),
  });

  /** Plays steps; gives what a box did that it must not: a key of another version than its own, or a version that went back. */
  const startPlay = async (steps: readonly Step[], seed: number): Promise<readonly string[]> => {
    let now = 0;
    const random = createRandom(seed);
    const log: { readonly version: number; readonly keys: readonly string[] }[] = [];
    const boxes = [0, 1, 2].map(
      (index) => new TestBox(`box-${index}`, () => now, 'boxes', undefined, seed + index),
    );
    boxes.forEach((box) => {
      box.others = boxes
        .filter((other) => other !== box)
        .map((other) => ({
          box: other.name,
          client: {
            requestConfiguration: (version: number) => Promise.resolve(other.desk.createResponse(version)),
          } as unknown as BoxClient,
        }));
    });
    const problems: string[] = [];
    const highest = boxes.map(() => -1);
    for (const { kind, box: index } of steps) {
      now += 300;
      const box = boxes[index]!;
      const newest = log[log.length - 1];
      if (kind === 'write') {
        log.push({ version: log.length * 3, keys: ALL_KEYS.filter(() => random() < 0.5) });
      } else if (kind === 'read' && box.isFollowing && newest !== undefined) {
        box.handleText(createText(newest.version, newest.keys));
      } else if (kind === 'turnAway' || kind === 'letIn') {
        box.isFollowing = kind === 'letIn';
      } else if (kind === 'ask') {
        box.desk.handleTick();
        await startTurn();
      }
      boxes.forEach((one, number) => {
        const version = one.readVersion();
        const expected = log.find((entry) => entry.version === version)?.keys ?? [];
        if (one.readWorkingKeys().join() !== expected.join()) {
          problems.push(`${one.name} admits ${one.readWorkingKeys().join()} in version ${version}`);
        }
        if (version < highest[number]!) {
          problems.push(`${one.name} went back to ${version}`);
        }
        highest[number] = Math.max(highest[number]!, version);
      });
    }
    return problems;
  };

  it('never go back, and each admits the keys of its own version and no others, whoever gave it', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { maxLength: 40 }),
        fc.integer({ min: 1, max: 1e6 }),
        async (steps, seed) => {
          expect(await startPlay(steps, seed)).toEqual([]);
        },
      ),
      { numRuns: 200, seed: 20261202 },
    );
  });
});
