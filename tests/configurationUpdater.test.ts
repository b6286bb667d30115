import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import type { BoxClient } from '../packages/boxes/BoxClient';
import type { ConfigurationResponse } from '../packages/boxes/ConfigurationResponse';
import { createRandom } from '../packages/common/createRandom';
import { QueueRouter } from '../packages/gateway/QueueRouter';
import { ConfigurationUpdater } from '../packages/serve/ConfigurationUpdater';
import type { ConfigurationSource } from '../packages/serve/ConfigurationSource';
import { parseConfiguration } from '../platform/parseConfiguration';

const KEY = 'config';
const ALL_KEYS = ['key-a', 'key-b', 'key-c', 'key-d'];

const createText = (version: number, keys: readonly string[]): string =>
  JSON.stringify({ version, routes: [], tenants: [{ name: 'clinic', 'api-keys': keys }] });

/** Configuration of a box with simulated clock, log access and other boxes. */
class SimulatedBox {
  readonly router = new QueueRouter();
  readonly lines: string[] = [];
  isFollowing = true;
  followedAt = 0;
  others: { readonly box: string; readonly client: BoxClient }[] = [];
  readonly updater: ConfigurationUpdater;

  constructor(
    readonly name: string,
    getNow: () => number,
    source: ConfigurationSource,
    maxAgeMs: number | undefined,
    seed: number,
  ) {
    const record = (message: string): void => void this.lines.push(message);
    this.updater = new ConfigurationUpdater({
      adapter: { configurationKey: KEY, parseConfiguration },
      router: this.router,
      source,
      clock: { getNow, getWallTime: getNow, getMaxElapsedSince: (since) => getNow() - since },
      random: createRandom(seed),
      logger: { info: record, warn: record, error: record },
      maxAgeMs,
      isTopicUpToDate: () => this.isFollowing,
      getLastReadAt: () => this.followedAt,
      handleConfiguration: () => undefined,
      listOthers: () => this.others,
    });
  }

  getVersion(): number {
    return this.router.getConfiguration()?.version ?? -1;
  }

  listAcceptedKeys(): readonly string[] {
    return ALL_KEYS.filter((key) => this.router.getCustomers().findByKey(key) !== undefined);
  }

  handleText(text: string): void {
    this.updater.handleRecords([{ offset: 0, key: KEY, value: text }]);
  }
}

const waitForImmediate = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

describe('configuration of a box', () => {
  let now: number;
  let requestedVersions: number[];

  beforeEach(() => {
    [now, requestedVersions] = [1000, []];
  });

  const createBox = (source: ConfigurationSource, maxAgeMs?: number): SimulatedBox =>
    new SimulatedBox('box-0', () => now, source, maxAgeMs, 1);

  const createOther = (response: ConfigurationResponse | undefined): SimulatedBox['others'][number] => ({
    box: 'box-1',
    client: {
      requestConfiguration: (version: number) => {
        requestedVersions.push(version);
        return Promise.resolve(response);
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

  it('is requested from another box only while the log is unavailable', async () => {
    const box = createBox('boxes');
    box.handleText(createText(1, ['key-a']));
    box.others = [createOther({ ageMs: 40, configuration: createConfiguration(2, ['key-b']) })];
    box.updater.handleTick();
    await waitForImmediate();
    expect([requestedVersions, box.getVersion()]).toEqual([[], 1]);
    box.isFollowing = false;
    box.updater.handleTick();
    box.updater.handleTick();
    await waitForImmediate();
    expect([requestedVersions, box.getVersion(), box.listAcceptedKeys()]).toEqual([[1], 2, ['key-b']]);
    now += 300;
    box.updater.handleTick();
    await waitForImmediate();
    expect(requestedVersions).toEqual([1, 2]);
  });

  it('comes only from the log with the source log', async () => {
    const box = createBox('log');
    box.isFollowing = false;
    box.others = [createOther({ ageMs: 0, configuration: createConfiguration(2, []) })];
    box.updater.handleTick();
    await waitForImmediate();
    expect([requestedVersions, box.getVersion()]).toEqual([[], -1]);
  });

  it('is requested again after a box did not respond', async () => {
    const box = createBox('boxes');
    box.isFollowing = false;
    box.others = [createOther(undefined)];
    for (let attempt = 1; attempt <= 3; attempt += 1) {
      box.updater.handleTick();
      await waitForImmediate();
      expect(requestedVersions).toHaveLength(attempt);
      now += 250;
    }
  });

  it('is fresh while the log or another box has recently confirmed it as the newest', async () => {
    const box = createBox('boxes', 4000);
    box.followedAt = now;
    now += 3900;
    expect(box.updater.isFresh()).toBe(true);
    now += 200;
    expect(box.updater.isFresh()).toBe(false);
    box.isFollowing = false;
    box.others = [createOther({ ageMs: 1500 })];
    box.updater.handleTick();
    await waitForImmediate();
    expect(Math.round(box.updater.getAgeMs())).toBe(1500);
    expect(box.updater.isFresh()).toBe(true);
    expect(createBox('boxes').updater.isFresh()).toBe(true);
  });

  it('does not change with a malformed version, which is logged in one line', () => {
    const box = createBox('boxes');
    box.handleText(createText(1, ['key-a']));
    box.handleText('{"version":2}');
    expect([box.getVersion(), box.listAcceptedKeys()]).toEqual([1, ['key-a']]);
    expect(box.lines).toEqual(['Configuration applied.', 'Malformed configuration ignored.']);
  });
});

describe('configurations of several boxes', () => {
  type Step = { readonly kind: 'write' | 'read' | 'turnAway' | 'letIn' | 'ask'; readonly box: number };

  const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom('write', 'read', 'turnAway', 'letIn', 'ask'),
    box: fc.integer({ min: 0, max: 2 }),
  });

  /** Runs steps and returns violations: a box that accepts keys of a version other than its own, or whose version decreases. */
  const runSteps = async (steps: readonly Step[], seed: number): Promise<readonly string[]> => {
    let now = 0;
    const random = createRandom(seed);
    const log: { readonly version: number; readonly keys: readonly string[] }[] = [];
    const boxes = [0, 1, 2].map(
      (index) => new SimulatedBox(`box-${index}`, () => now, 'boxes', undefined, seed + index),
    );
    boxes.forEach((box) => {
      box.others = boxes
        .filter((other) => other !== box)
        .map((other) => ({
          box: other.name,
          client: {
            requestConfiguration: (version: number) => Promise.resolve(other.updater.createResponse(version)),
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
        box.updater.handleTick();
        await waitForImmediate();
      }
      boxes.forEach((one, number) => {
        const version = one.getVersion();
        const expected = log.find((entry) => entry.version === version)?.keys ?? [];
        if (one.listAcceptedKeys().join() !== expected.join()) {
          problems.push(`${one.name} accepts ${one.listAcceptedKeys().join()} in version ${version}`);
        }
        if (version < highest[number]!) {
          problems.push(`${one.name} returned to version ${version}`);
        }
        highest[number] = Math.max(highest[number]!, version);
      });
    }
    return problems;
  };

  it('never return to an older version, and each accepts exactly the keys of its version', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(stepArbitrary, { maxLength: 40 }),
        fc.integer({ min: 1, max: 1e6 }),
        async (steps, seed) => {
          expect(await runSteps(steps, seed)).toEqual([]);
        },
      ),
      { numRuns: 200, seed: 20261202 },
    );
  });
});
