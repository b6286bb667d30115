import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { BoxClients } from '../packages/boxes/BoxClients';
import { BoxDirectory } from '../packages/boxes/BoxDirectory';
import { Leadership } from '../packages/leadership/Leadership';
import { leaderKeys } from '../packages/leadership/leaderKeys';
import type { LeaderRecord } from '../packages/leadership/LeaderRecord';
import { LeaseHistory } from '../packages/leadership/LeaseHistory';
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

describe('a box whose reads show the leader silent', () => {
  /** Reads are answered so far apart, for all boxes at the same moments. */
  const CYCLE_MS = 850;

  /** Time from the last sign to the claim. */
  const measureClaimMs = (isOutranked: boolean, random: number, readsEarlierMs = 0): number => {
    let now = 1000;
    let lastOkAt = now;
    const clock = { readNow: () => now, readWall: () => now };
    const claims: number[] = [];
    const follower = { readLastOkAt: () => lastOkAt, isFollowing: () => true, readOffset: () => 0 };
    const leadership = new Leadership({
      client: createLog(claims, clock.readNow),
      topic: 'keyed.states',
      follower: follower as unknown as LogFollower,
      box: 'box-1',
      process: 'box-1#1',
      clock,
      random: () => random,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      isOutranked: () => isOutranked,
      handleElected: () => undefined,
    });
    leadership.handleConnection(true);
    leadership.foldRecords([{ offset: 0, key: leaderKeys.recordKey, value: JSON.stringify(LEADER) }]);
    for (; claims.length === 0 && now < 5000; now += 10) {
      const readCount = Math.floor((now - 1000 + readsEarlierMs) / CYCLE_MS);
      lastOkAt = Math.max(1000, 1000 + readCount * CYCLE_MS - readsEarlierMs);
      leadership.applyTime();
    }
    return claims[0]! - 1000;
  };

  it('waits from the read that showed it, so that boxes that read at the same moments claim one after the other', () => {
    const strong = [0, 0.3, 0.8].map((random) => measureClaimMs(false, random));
    expect(strong).toEqual([1700, 1820, 2020]);
    const weak = [0, 0.3, 0.8].map((random) => measureClaimMs(true, random));
    expect(Math.min(...weak)).toBeGreaterThan(strong[1]! + 200);
    // A weak box that sees the silence earlier than the strong ones still leaves them the first claim.
    expect(measureClaimMs(true, 0, 390)).toBeGreaterThan(strong[2]!);
  });
});

/** A box that says it can use the log, whatever it is asked, after a time. */
const startUsableBox = async (
  delayMs: number,
): Promise<{ readonly server: Server; readonly address: string }> => {
  const server = createServer((_request, response) => void setTimeout(() => response.end(), delayMs));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

describe('the boxes that may lead next', () => {
  it('are first those not clearly weaker', () => {
    const directory = new BoxDirectory();
    const cores = { strong: 1.35, similar: 1, weak: 0.3 };
    directory.foldRecords(
      Object.entries(cores).map(([box, value], offset) => ({
        offset,
        key: BoxDirectory.toKey(box),
        value: BoxDirectory.formatRecord(`${box}:80`, { cores: value, linkMbps: 1000 }),
      })),
    );
    expect(directory.readPeers({ cores: 1.35, linkMbps: 1000 }).map(({ box }) => box)).toEqual([
      'strong',
      'similar',
    ]);
    expect(directory.readPeers({ cores: 0.3, linkMbps: 1000 })).toHaveLength(3);
  });

  const createUnlikeBoxes = (): BoxDirectory => {
    const directory = new BoxDirectory();
    const powers = {
      wide: { cores: 1.35, linkMbps: 140 },
      narrow: { cores: 0.81, linkMbps: 7 },
      small: { cores: 0.243, linkMbps: 7 },
    };
    directory.foldRecords(
      Object.entries(powers).map(([box, power], offset) => ({
        offset,
        key: BoxDirectory.toKey(box),
        value: BoxDirectory.formatRecord(`${box}:80`, power),
      })),
    );
    return directory;
  };

  it('are not those whose link is narrow, however many cores they have', () => {
    const directory = createUnlikeBoxes();
    expect(directory.readPeers({ cores: 1.35, linkMbps: 140 }).map(({ box }) => box)).toEqual(['wide']);
    expect(directory.readStronger({ cores: 0.81, linkMbps: 7 }).map(({ box }) => box)).toEqual(['wide']);
    expect(directory.readStronger({ cores: 1.35, linkMbps: 140 })).toEqual([]);
  });

  it('tell by their cores alone where an earlier version announced them', () => {
    const directory = new BoxDirectory();
    const value = JSON.stringify({ address: 'old:80', cores: 0.81 });
    directory.foldRecords([{ offset: 0, key: BoxDirectory.toKey('old'), value }]);
    expect(directory.readStronger({ cores: 0.5, linkMbps: 1000 }).map(({ box }) => box)).toEqual(['old']);
  });

  it('are the strongest that the log serves, when it serves none as strong as the one that asks', async () => {
    const directory = createUnlikeBoxes();
    const asked: Server[] = [];
    const boxes = [
      { box: 'small', cores: 0.243, delayMs: 0 },
      { box: 'narrow', cores: 0.81, delayMs: 50 },
    ];
    for (const { box, cores, delayMs } of boxes) {
      const { server, address } = await startUsableBox(delayMs);
      asked.push(server);
      directory.recordBox(box, address, { cores, linkMbps: 7 });
    }
    const clients = new BoxClients(directory, { box: 'wide', cores: 1.35, linkMbps: 140 });
    const chosen = await clients.startChoosingLogUser();
    expect(chosen?.address).toBe(directory.readBoxes().find(({ box }) => box === 'narrow')!.address);
    await Promise.all(clients.readOthers().map(({ client }) => client.stop()));
    asked.forEach((server) => server.close());
  });
});

describe('what earlier leaders leased', () => {
  const toRecord = (epoch: number, isResigned = false): LeaderRecord => ({
    epoch,
    box: `box-${epoch}`,
    process: `box-${epoch}#1`,
    isResigned,
  });
  const LEASE_BOUND_MS = 4370;
  const UNCONFIRMED_MS = 8000;

  it('ends a bounded time after the last sign of a leader, however late the next one is elected', () => {
    const leases = new LeaseHistory();
    leases.recordLeader(toRecord(1), 1000);
    leases.recordActivity(2000);
    leases.recordLeader(toRecord(2), 9000);
    expect(leases.getEarlierEndAt()).toBe(2000 + LEASE_BOUND_MS + UNCONFIRMED_MS);
  });

  it('ends with the lease itself where the leader has said that it stopped', () => {
    const resigned = new LeaseHistory();
    resigned.recordLeader(toRecord(1), 1000);
    resigned.recordLeader(toRecord(1, true), 5000);
    resigned.recordLeader(toRecord(2), 5500);
    expect(resigned.getEarlierEndAt()).toBe(5000 + LEASE_BOUND_MS);
    const told = new LeaseHistory();
    told.recordLeader(toRecord(1), 1000);
    told.recordStopped(1, 5000);
    told.recordLeader(toRecord(2), 5500);
    expect(told.getEarlierEndAt()).toBe(5000 + LEASE_BOUND_MS);
  });

  it('is not forgotten when a leader in between was short', () => {
    const leases = new LeaseHistory();
    leases.recordLeader(toRecord(1), 1000);
    leases.recordLeader(toRecord(2), 3000);
    leases.recordLeader(toRecord(2, true), 3100);
    leases.recordLeader(toRecord(3), 3200);
    expect(leases.getEarlierEndAt()).toBe(1000 + LEASE_BOUND_MS + UNCONFIRMED_MS);
  });

  it('counts a heartbeat that is read after the word of its leader, and not the word of another', () => {
    const leases = new LeaseHistory();
    leases.recordLeader(toRecord(1), 1000);
    leases.recordStopped(1, 1100);
    leases.recordLeader(toRecord(1), 1200);
    leases.recordStopped(7, 1300);
    leases.recordLeader(toRecord(2), 1400);
    expect(leases.getEarlierEndAt()).toBe(1200 + LEASE_BOUND_MS + UNCONFIRMED_MS);
  });
});
