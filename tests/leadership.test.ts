import { describe, expect, it } from 'vitest';
import { BoxDirectory } from '../packages/boxes/BoxDirectory';
import { Leadership } from '../packages/leadership/Leadership';
import { leaderKeys } from '../packages/leadership/leaderKeys';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';

const LEADER = { epoch: 1, box: 'box-0', process: 'box-0#1', isResigned: false };

/** A log that can be read and shows that no claim of this process has won. */
const createLog = (claims: number[], readNow: () => number): LogClient => ({
  append: () => {
    claims.push(readNow());
    return new Promise(() => undefined);
  },
  readNewestPage: () => Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
  readRecords: () => new Promise(() => undefined),
  stop: () => Promise.resolve(),
});

describe('a box that sees the process of the leader end', () => {
  /** Time from the end to the claim, on a clock that stands still meanwhile. */
  const measureClaimMs = async (isOutranked: boolean, silentBeforeMs: number): Promise<number> => {
    let now = 1000;
    const clock = { readNow: () => now, readWall: () => now };
    const claims: number[] = [];
    const client = createLog(claims, clock.readNow);
    const logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
    const follower = new LogFollower({
      client,
      topic: 'keyed.states',
      clock,
      random: () => 0,
      pauseMs: 0,
      pollMs: 1000,
      handleRecords: () => undefined,
    });
    void follower.start();
    await new Promise((resolve) => setTimeout(resolve, 20));
    const leadership = new Leadership({
      client,
      topic: 'keyed.states',
      follower,
      box: 'box-1',
      process: 'box-1#1',
      clock,
      random: () => 0.2,
      logger,
      isOutranked: () => isOutranked,
      handleElected: () => undefined,
    });
    leadership.handleConnection(true);
    leadership.foldRecords([{ offset: 0, key: leaderKeys.recordKey, value: JSON.stringify(LEADER) }]);
    now += silentBeforeMs;
    const endedAt = now;
    leadership.handleLeaderEnded(LEADER.process);
    for (; claims.length === 0 && now < endedAt + 1000; now += 10) {
      leadership.handleLeaderEnded(LEADER.process);
      leadership.applyTime();
    }
    follower.stop();
    return claims[0]! - endedAt;
  };

  it('leaves stronger boxes the first claim, also where the leader had been silent before', async () => {
    for (const silentBeforeMs of [0, 700]) {
      expect(await measureClaimMs(false, silentBeforeMs)).toBeLessThan(100);
      const outrankedMs = await measureClaimMs(true, silentBeforeMs);
      expect(outrankedMs).toBeGreaterThan(350);
      expect(outrankedMs).toBeLessThan(500);
    }
  });
});

describe('the boxes that may lead next', () => {
  it('are first those not clearly weaker', () => {
    const directory = new BoxDirectory();
    const cores = { strong: 1.35, similar: 1, weak: 0.3 };
    directory.foldRecords(
      Object.entries(cores).map(([box, value], offset) => ({
        offset,
        key: BoxDirectory.toKey(box),
        value: BoxDirectory.formatRecord(`${box}:80`, value),
      })),
    );
    expect(directory.readPeers(1.35).map(({ box }) => box)).toEqual(['strong', 'similar']);
    expect(directory.readPeers(0.3)).toHaveLength(3);
  });
});
