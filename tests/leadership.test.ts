import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { BoxClients } from '../packages/boxes/BoxClients';
import { BoxDirectory } from '../packages/boxes/BoxDirectory';
import { Leadership } from '../packages/leadership/Leadership';
import { leaderKeys } from '../packages/leadership/leaderKeys';
import type { LeaderRecord } from '../packages/leadership/LeaderRecord';
import { LeaseHistory } from '../packages/leadership/LeaseHistory';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';
import type { LogRecord } from '../packages/store/LogRecord';

const CLIENT_OPTIONS = {
  clock: systemClock,
  logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
};
const LONGEST_LEASE_MS = 10_000;
const LEADER = { epoch: 1, box: 'box-0', process: 'box-0#1', isResigned: false };

/** Creates a readable log that never responds to claims. */
const createLog = (claims: number[], getNow: () => number): LogClient => ({
  append: () => {
    claims.push(getNow());
    return new Promise(() => undefined);
  },
  readPageOfNewestByKey: () =>
    Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
  readRecords: () => new Promise(() => undefined),
  stop: () => Promise.resolve(),
});

describe('a box that notices the end of the process of the leader', () => {
  /** Returns the time from the end to the claim, in milliseconds on a simulated clock. */
  const computeClaimMs = async (isOutranked: boolean, inactiveBeforeMs: number): Promise<number> => {
    let now = 1000;
    const clock = { getNow: () => now, getWallTime: () => now };
    const claims: number[] = [];
    const client = createLog(claims, clock.getNow);
    const logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
    const follower = new LogFollower({
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      client,
      topic: 'keyed.states',
      clock,
      random: () => 0,
      pauseMs: 0,
      pollWaitMs: 1000,
      handleRecords: () => undefined,
    });
    void follower.start();
    await new Promise((resolve) => setTimeout(resolve, 20));
    const leadership = new Leadership({
      client,
      topic: 'keyed.states',
      follower,
      box: 'box-1',
      address: 'box-1:1',
      process: 'box-1#1',
      clock,
      random: () => 0.2,
      logger,
      longestLeaseMs: LONGEST_LEASE_MS,
      isOutranked: () => isOutranked,
      isReadyToLead: () => true,
      handleElected: () => undefined,
    });
    leadership.handleLogConnection(true);
    leadership.foldRecords([{ offset: 0, key: leaderKeys.recordKey, value: JSON.stringify(LEADER) }]);
    now += inactiveBeforeMs;
    const endedAt = now;
    leadership.handleLeaderEnded(LEADER.process);
    for (; claims.length === 0 && now < endedAt + 1000; now += 10) {
      leadership.handleLeaderEnded(LEADER.process);
      leadership.handleTick();
    }
    follower.stop();
    return claims[0]! - endedAt;
  };

  it('lets stronger boxes claim first, even if the leader was inactive before', async () => {
    for (const inactiveBeforeMs of [0, 700]) {
      expect(await computeClaimMs(false, inactiveBeforeMs)).toBeLessThan(100);
      const outrankedMs = await computeClaimMs(true, inactiveBeforeMs);
      expect(outrankedMs).toBeGreaterThan(350);
      expect(outrankedMs).toBeLessThan(500);
    }
  });
});

describe('a box whose reads show a heartbeat timeout', () => {
  /** Interval of read responses, which arrive at all boxes at the same moments. */
  const CYCLE_MS = 850;

  /** Returns the time from the last activity of the leader to the claim, in milliseconds. */
  const computeClaimMs = (
    isOutranked: boolean,
    random: number,
    readsEarlierMs = 0,
    knowsJobsAfterMs = 0,
    leader: LeaderRecord = LEADER,
  ): number => {
    let now = 1000;
    let lastOkAt = now;
    const clock = { getNow: () => now, getWallTime: () => now };
    const claims: number[] = [];
    const follower = { getLastSuccessAt: () => lastOkAt, isUpToDate: () => true, getOffset: () => 0 };
    const leadership = new Leadership({
      client: createLog(claims, clock.getNow),
      topic: 'keyed.states',
      follower: follower as unknown as LogFollower,
      box: 'box-1',
      address: 'box-1:1',
      process: 'box-1#1',
      clock,
      random: () => random,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      longestLeaseMs: LONGEST_LEASE_MS,
      isOutranked: () => isOutranked,
      isReadyToLead: () => now - 1000 >= knowsJobsAfterMs,
      handleElected: () => undefined,
    });
    leadership.handleLogConnection(true);
    leadership.foldRecords([{ offset: 0, key: leaderKeys.recordKey, value: JSON.stringify(leader) }]);
    for (; claims.length === 0 && now < 5000; now += 10) {
      const readCount = Math.floor((now - 1000 + readsEarlierMs) / CYCLE_MS);
      lastOkAt = Math.max(1000, 1000 + readCount * CYCLE_MS - readsEarlierMs);
      leadership.handleTick();
    }
    return claims[0]! - 1000;
  };

  it('delays its claim from the read that showed the timeout, so that boxes do not claim at the same moment', () => {
    const strong = [0, 0.3, 0.8].map((random) => computeClaimMs(false, random));
    expect(strong).toEqual([1700, 1820, 2020]);
    const weak = [0, 0.3, 0.8].map((random) => computeClaimMs(true, random));
    expect(Math.min(...weak)).toBeGreaterThan(strong[1]! + 200);
    // A weak box that notices the timeout earlier than the strong ones still claims after them.
    expect(computeClaimMs(true, 0, 390)).toBeGreaterThan(strong[2]!);
  });

  it('claims at once after a leader has resigned in its favour, and later than the successor otherwise', () => {
    const claimAfter = (successor: string | undefined): number =>
      computeClaimMs(false, 0.5, 0, 0, { ...LEADER, isResigned: true, successor });
    expect(claimAfter('box-1:1')).toBeLessThan(20);
    expect(claimAfter(undefined)).toBeLessThan(100);
    expect(claimAfter('box-7:1')).toBeGreaterThan(400);
    expect(claimAfter('box-7:1')).toBeLessThan(500);
  });

  it('does not claim before it knows the jobs, since it could not act, and would be silent while it reads them', () => {
    expect(computeClaimMs(false, 0, 0, 3000)).toBeGreaterThanOrEqual(3000);
    expect(computeClaimMs(false, 0, 0, 1000)).toBe(1700);
  });
});

/** Starts a server that responds with success to every request, after a delay. */
const startUsableBox = async (
  delayMs: number,
): Promise<{ readonly server: Server; readonly address: string }> => {
  const server = createServer((_request, response) => void setTimeout(() => response.end(), delayMs));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

describe('candidates for the next leader', () => {
  it('are the boxes that are not clearly weaker', () => {
    const directory = new BoxDirectory();
    const cores = { strong: 1.35, similar: 1, weak: 0.3 };
    directory.foldRecords(
      Object.entries(cores).map(([box, value], offset) => ({
        offset,
        key: BoxDirectory.toAnnouncementKey(box),
        value: BoxDirectory.formatAnnouncement(`${box}:80`, { cores: value, linkMbps: 1000 }),
      })),
    );
    expect(directory.listPeers({ cores: 1.35, linkMbps: 1000 }).map(({ box }) => box)).toEqual([
      'strong',
      'similar',
    ]);
    expect(directory.listPeers({ cores: 0.3, linkMbps: 1000 })).toHaveLength(3);
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
        key: BoxDirectory.toAnnouncementKey(box),
        value: BoxDirectory.formatAnnouncement(`${box}:80`, power),
      })),
    );
    return directory;
  };

  it('exclude boxes with a slow link, however many cores they have', () => {
    const directory = createUnlikeBoxes();
    expect(directory.listPeers({ cores: 1.35, linkMbps: 140 }).map(({ box }) => box)).toEqual(['wide']);
    expect(directory.listStronger({ cores: 0.81, linkMbps: 7 }).map(({ box }) => box)).toEqual(['wide']);
    expect(directory.listStronger({ cores: 1.35, linkMbps: 140 })).toEqual([]);
  });

  it('are compared by cores alone when an earlier version announced them', () => {
    const directory = new BoxDirectory();
    const value = JSON.stringify({ address: 'old:80', cores: 0.81 });
    directory.foldRecords([{ offset: 0, key: BoxDirectory.toAnnouncementKey('old'), value }]);
    expect(directory.listStronger({ cores: 0.5, linkMbps: 1000 }).map(({ box }) => box)).toEqual(['old']);
  });

  it('are the strongest boxes that can use the log, when none is as strong as the one that hands over', async () => {
    const directory = createUnlikeBoxes();
    const asked: Server[] = [];
    const boxes = [
      { box: 'small', cores: 0.243, delayMs: 0 },
      { box: 'narrow', cores: 0.81, delayMs: 50 },
    ];
    for (const { box, cores, delayMs } of boxes) {
      const { server, address } = await startUsableBox(delayMs);
      asked.push(server);
      directory.setBox(box, address, { cores, linkMbps: 7 });
    }
    const clients = new BoxClients(directory, { box: 'wide', cores: 1.35, linkMbps: 140 }, CLIENT_OPTIONS);
    const chosen = await clients.findLeaderCandidate();
    expect(chosen?.address).toBe(directory.listBoxes().find(({ box }) => box === 'narrow')!.address);
    await Promise.all(clients.listOthers().map(({ client }) => client.stop()));
    asked.forEach((server) => server.close());
  });
});

describe('the successor of a leader that is stopped by plan', () => {
  const OWN = { box: 'own', cores: 1, linkMbps: 100 };

  it('is a box that a rolling restart has passed, since the others stop soon after', async () => {
    const servers = await Promise.all([startUsableBox(0), startUsableBox(0), startUsableBox(100)]);
    const directory = new BoxDirectory();
    const announcedAt = { before: -Infinity, alongside: 1500, restarted: 20_000 };
    Object.entries(announcedAt).forEach(([box, readAt], index) => {
      const value = BoxDirectory.formatAnnouncement(servers[index]!.address, OWN);
      directory.foldRecords([{ offset: index, key: BoxDirectory.toAnnouncementKey(box), value }], readAt);
    });
    const clients = new BoxClients(directory, OWN, CLIENT_OPTIONS);
    const successor = await clients.findSuccessor(0);
    const later = await clients.findSuccessor(25_000);
    await Promise.all(clients.listOthers().map(({ client }) => client.stop()));
    servers.forEach(({ server }) => server.close());
    expect(successor?.address).toBe(servers[2]!.address);
    expect(later?.address).not.toBe(servers[2]!.address);
  });
});

describe('leases of earlier leaders', () => {
  const toRecord = (epoch: number, isResigned = false): LeaderRecord => ({
    epoch,
    box: `box-${epoch}`,
    address: `box-${epoch}:1`,
    process: `box-${epoch}#1`,
    isResigned,
  });
  const LEASE_BOUND_MS = 4370;
  const UNCONFIRMED_GRACE_MS = 8000;
  const NEXT_PROCESS = { box: 'box-1', address: 'box-1:1', process: 'box-1#2' };

  it('expire a bounded time after the last activity of a leader, however late the next one is elected', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordActivity(2000);
    leases.recordLeader(toRecord(2), 9000);
    expect(leases.getEarlierLeasesEndAt()).toBe(2000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('expire without the grace period when the leader has stopped gracefully', () => {
    const resigned = new LeaseHistory(LONGEST_LEASE_MS);
    resigned.recordLeader(toRecord(1), 1000);
    resigned.recordLeader(toRecord(1, true), 5000);
    resigned.recordLeader(toRecord(2), 5500);
    expect(resigned.getEarlierLeasesEndAt()).toBe(5000 + LEASE_BOUND_MS);
    const notified = new LeaseHistory(LONGEST_LEASE_MS);
    notified.recordLeader(toRecord(1), 1000);
    notified.recordLeaderStopped(1, 5000);
    notified.recordLeader(toRecord(2), 5500);
    expect(notified.getEarlierLeasesEndAt()).toBe(5000 + LEASE_BOUND_MS);
  });

  it('expire without the grace period when the process of the leader has ended, also if its records are read later', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordBoxProcess({ ...NEXT_PROCESS, startedBy: 5000 }, 2);
    leases.recordLeader(toRecord(1), 5200);
    leases.recordBoxProcess({ ...NEXT_PROCESS, startedBy: 5300 }, 2);
    leases.recordLeader(toRecord(2), 6000);
    expect(leases.getEarlierLeasesEndAt()).toBe(5000 + LEASE_BOUND_MS);
  });

  it('expire no later when the end of the process is noticed long after its last activity', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordBoxProcess({ ...NEXT_PROCESS, startedBy: 30_000 }, 2);
    leases.recordLeader(toRecord(2), 31_000);
    expect(leases.getEarlierLeasesEndAt()).toBe(1000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('expire with the grace period when another process than that of the leader has ended', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordBoxProcess({ ...NEXT_PROCESS, startedBy: 1100 }, 2);
    leases.recordLeader(toRecord(2), 2000);
    leases.recordBoxProcess({ ...NEXT_PROCESS, startedBy: 3000 }, 2);
    leases.recordLeader(toRecord(3), 4000);
    expect(leases.getEarlierLeasesEndAt()).toBe(2000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  /** Elects `box-1#2`, whose process reads the record of a leader as it starts, and returns the end of the earlier leases. */
  const computeEarlierLeasesEndAt = async (
    leader: LeaderRecord,
    handleLeader: (leadership: Leadership) => void,
  ): Promise<number> => {
    let now = 1000;
    const clock = { getNow: () => (now += 1), getWallTime: () => now };
    let leadership: Leadership | undefined;
    const follower = {
      getLastSuccessAt: () => 1000,
      isUpToDate: () => true,
      getOffset: () => 1,
      waitForOffset: () => {
        const own: LeaderRecord = {
          epoch: 2,
          box: 'box-1',
          address: 'box-1:1',
          process: 'box-1#2',
          isResigned: false,
        };
        leadership!.foldRecords([{ offset: 1, key: leaderKeys.recordKey, value: JSON.stringify(own) }]);
        return Promise.resolve(true);
      },
    };
    return new Promise((resolve) => {
      leadership = new Leadership({
        client: { ...createLog([], clock.getNow), append: () => Promise.resolve({ ok: true, value: 1 }) },
        topic: 'keyed.states',
        follower: follower as unknown as LogFollower,
        box: 'box-1',
        address: 'box-1:1',
        process: 'box-1#2',
        clock,
        random: () => 0,
        logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
        longestLeaseMs: LONGEST_LEASE_MS,
        isOutranked: () => false,
        isReadyToLead: () => true,
        handleElected: ({ earlierLeasesEndAt }) => resolve(earlierLeasesEndAt),
      });
      leadership.handleLogConnection(true);
      leadership.foldRecords([{ offset: 0, key: leaderKeys.recordKey, value: JSON.stringify(leader) }]);
      handleLeader(leadership);
    });
  };

  it('expire without the grace period when an earlier process of the same box led', async () => {
    const leases = computeEarlierLeasesEndAt(toRecord(1), (leadership) => leadership.handleTick());
    expect(await leases).toBeLessThan(1020 + LEASE_BOUND_MS);
  });

  it('do not make a box of the same name and another address claim at once', () => {
    const claims: number[] = [];
    const leadership = new Leadership({
      client: createLog(claims, () => 1000),
      topic: 'keyed.states',
      follower: { isUpToDate: () => true, getLastSuccessAt: () => 1000 } as unknown as LogFollower,
      box: 'box-1',
      address: 'box-1:2',
      process: 'box-1#2',
      clock: { getNow: () => 1000, getWallTime: () => 1000 },
      random: () => 0,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      longestLeaseMs: LONGEST_LEASE_MS,
      isOutranked: () => false,
      isReadyToLead: () => true,
      handleElected: () => undefined,
    });
    leadership.handleLogConnection(true);
    leadership.foldRecords([{ offset: 0, key: leaderKeys.recordKey, value: JSON.stringify(toRecord(1)) }]);
    leadership.handleTick();
    expect(claims).toEqual([]);
  });

  it('expire with the grace period when the address of the leader refused a connection, which is only a hint', async () => {
    const leader = { ...toRecord(1), box: 'box-0', address: 'box-0:1', process: 'box-0#1' };
    const leases = computeEarlierLeasesEndAt(leader, (leadership) => {
      leadership.handleLeaderEnded(leader.process);
      leadership.handleTick();
    });
    expect(await leases).toBeGreaterThan(1000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  /**
   * Returns the end of the earlier leases in a process that last read the log at 1000 and was elected after a short leader, whose predecessor
   * still wrote at 9000, shortly before `takeoverAt`.
   */
  const computeLeasesEndAfterGap = (
    takeoverAt: number,
    handleTakeover: (
      leadership: Leadership,
      toLogRecords: (...records: LeaderRecord[]) => LogRecord[],
    ) => void,
  ): number => {
    let now = 1000;
    const toLogRecords = (...records: LeaderRecord[]): LogRecord[] =>
      records.map((record, offset) => ({ offset, key: leaderKeys.recordKey, value: JSON.stringify(record) }));
    const leadership = new Leadership({
      client: createLog([], () => now),
      topic: 'keyed.states',
      follower: { isUpToDate: () => false } as unknown as LogFollower,
      box: 'box-3',
      address: 'box-3:1',
      process: 'box-3#1',
      clock: { getNow: () => now, getWallTime: () => now },
      random: () => 0,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      longestLeaseMs: LONGEST_LEASE_MS,
      isOutranked: () => false,
      isReadyToLead: () => true,
      handleElected: () => undefined,
    });
    leadership.foldRecords(toLogRecords(toRecord(1)));
    leadership.handleLogConnection(true);
    now = 2000;
    leadership.handleLogConnection(false);
    now = takeoverAt;
    handleTakeover(leadership, toLogRecords);
    leadership.handleLogConnection(true);
    leadership.foldRecords(toLogRecords(toRecord(2, true), toRecord(3)));
    return leadership.getEarlierLeasesEndAt();
  };

  it('count writes of a leader that were not read before the next one announced itself', () => {
    const leasesEndAt = computeLeasesEndAfterGap(9100, (leadership, toLogRecords) => {
      leadership.handleAnnouncement(toRecord(2));
      leadership.foldRecords(toLogRecords(toRecord(1), toRecord(2)));
    });
    expect(leasesEndAt).toBeGreaterThanOrEqual(9000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('count writes of a leader that the log has forgotten', () => {
    const leasesEndAt = computeLeasesEndAfterGap(9100, (leadership, toLogRecords) =>
      leadership.foldRecords(toLogRecords(toRecord(2))),
    );
    expect(leasesEndAt).toBeGreaterThanOrEqual(9000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('end as the next leader says, although the process has missed writes', () => {
    const leasesEndAt = computeLeasesEndAfterGap(9100, (leadership, toLogRecords) =>
      leadership.foldRecords(toLogRecords({ ...toRecord(2), earlierLeasesMs: 6000 })),
    );
    expect(leasesEndAt).toBe(9100 + 6000);
  });

  it('are still bounded by an earlier leader when the one in between was short', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordLeader(toRecord(2), 3000);
    leases.recordLeader(toRecord(2, true), 3100);
    leases.recordLeader(toRecord(3), 3200);
    expect(leases.getEarlierLeasesEndAt()).toBe(1000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('count from a heartbeat read after the stop message of its leader, and not from the stop message of another epoch', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordLeaderStopped(1, 1100);
    leases.recordLeader(toRecord(1), 1200);
    leases.recordLeaderStopped(7, 1300);
    leases.recordLeader(toRecord(2), 1400);
    expect(leases.getEarlierLeasesEndAt()).toBe(1200 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('expire without the grace period once another process of the box of their leader runs', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordLeader(toRecord(2), 2000);
    leases.recordBoxProcess({ box: 'box-1', address: 'box-1:1', process: 'box-1#2', startedBy: 1800 }, 1);
    expect(leases.getEarlierLeasesEndAt()).toBe(1800 + LEASE_BOUND_MS);
  });

  it('are not shortened by the same process, by other boxes, or for leaders that were announced later', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordLeader(toRecord(2), 2000);
    leases.recordLeader(toRecord(3), 2000);
    leases.recordBoxProcess({ box: 'box-2', address: 'box-2:1', process: 'box-2#1', startedBy: 0 }, 2);
    leases.recordBoxProcess({ box: 'box-9', address: 'box-9:1', process: 'box-9#2', startedBy: 0 }, 2);
    leases.recordBoxProcess({ box: 'box-2', address: 'box-2:1', process: 'box-2#0', startedBy: 0 }, 1);
    expect(leases.getEarlierLeasesEndAt()).toBe(2000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('are not shortened by a process of that box at another address, as the earlier machine may still run', () => {
    const addresses = ['box-1:1', undefined];
    for (const address of addresses) {
      const leases = new LeaseHistory(LONGEST_LEASE_MS);
      leases.recordLeader({ ...toRecord(1), address }, 1000);
      leases.recordBoxProcess({ ...NEXT_PROCESS, address: 'box-1:2', startedBy: 1100 }, 1);
      leases.recordLeader(toRecord(2), 2000);
      leases.recordBoxProcess({ ...NEXT_PROCESS, address: 'box-1:2', startedBy: 1100 }, 1);
      expect(leases.getEarlierLeasesEndAt()).toBe(1000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
    }
  });

  describe('of a leader that has named witnesses', () => {
    const BRIEF_GRACE_MS = 2500;
    const VOUCH_MS = 1500;
    const witnesses = ['box-8', 'box-9'].map((box) => ({ box, address: `${box}:1`, process: `${box}#1` }));
    const LONG_END = 2000 + UNCONFIRMED_GRACE_MS + LEASE_BOUND_MS;
    const createHistory = (): LeaseHistory => {
      const leases = new LeaseHistory(LONGEST_LEASE_MS);
      leases.recordLeader({ ...toRecord(1), witnesses }, 2000);
      leases.recordLeader(toRecord(2), 4000);
      return leases;
    };
    const toReport = (index: number, fields = {}) => ({
      ...witnesses[index]!,
      startedBy: 0,
      vouchedBy: -Infinity,
      ...fields,
    });

    it('expire after the brief grace period once all witnesses have reported that they did not vouch', () => {
      const leases = createHistory();
      leases.recordWitness(toReport(0), 1);
      expect(leases.getEarlierLeasesEndAt()).toBe(LONG_END);
      expect([leases.isResponseAwaited('box-8', 4000), leases.isResponseAwaited('box-9', 4000)]).toEqual([
        false,
        true,
      ]);
      leases.recordWitness(toReport(1), 1);
      expect(leases.getEarlierLeasesEndAt()).toBe(2000 + BRIEF_GRACE_MS + LEASE_BOUND_MS);
    });

    it('include those that it renewed on the word of a witness, but none after the longest grace period', () => {
      const leases = createHistory();
      leases.recordWitness(toReport(0, { vouchedBy: 4100 }), 1);
      leases.recordWitness(toReport(1, { vouchedBy: 3000 }), 1);
      expect(leases.getEarlierLeasesEndAt()).toBe(4100 + VOUCH_MS + LEASE_BOUND_MS);
      const late = createHistory();
      late.recordWitness(toReport(0, { vouchedBy: 30_000 }), 1);
      late.recordWitness(toReport(1), 1);
      expect(late.getEarlierLeasesEndAt()).toBe(LONG_END);
    });

    it('count the word of an earlier process of a witness until it had ended', () => {
      const leases = createHistory();
      leases.recordWitness(toReport(0, { process: 'box-8#2', startedBy: 4500 }), 1);
      leases.recordWitness(toReport(1), 1);
      expect(leases.getEarlierLeasesEndAt()).toBe(4500 + VOUCH_MS + LEASE_BOUND_MS);
    });

    it('are not shortened by a box at another address, by a report that knows no later leader, or by other boxes', () => {
      const leases = createHistory();
      leases.recordWitness(toReport(0), 1);
      leases.recordWitness(toReport(1, { address: 'box-9:2' }), 1);
      leases.recordWitness(toReport(1), 0);
      leases.recordWitness(toReport(1, { box: 'box-7' }), 1);
      expect(leases.getEarlierLeasesEndAt()).toBe(LONG_END);
    });

    it('are not shortened when records of it may have been missed, which may name others', () => {
      const leases = new LeaseHistory(LONGEST_LEASE_MS);
      leases.recordLeader({ ...toRecord(1), witnesses }, 2000);
      leases.recordMissedWrites(3000);
      leases.recordLeader(toRecord(2), 4000);
      witnesses.forEach((_witness, index) => leases.recordWitness(toReport(index), 1));
      expect(leases.getEarlierLeasesEndAt()).toBe(3000 + UNCONFIRMED_GRACE_MS + LEASE_BOUND_MS);
    });
  });

  it('include those of leaders that a new process has not read, which may still renew them', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(6, true), 1000);
    leases.recordBoxProcess({ box: 'box-6', address: 'box-6:1', process: 'box-6#2', startedBy: 1000 }, 6);
    leases.recordLeader(toRecord(7), 1500);
    expect(leases.getEarlierLeasesEndAt()).toBe(1000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
  });

  it('end for a new process when the record of the leader says so', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader({ ...toRecord(6), earlierLeasesMs: 700 }, 1000);
    expect(leases.getEarlierLeasesEndAt()).toBe(1700);
    leases.recordBoxProcess({ box: 'box-6', address: 'box-6:1', process: 'box-6#2', startedBy: 900 }, 6);
    leases.recordLeader(toRecord(7), 1500);
    expect(leases.getEarlierLeasesEndAt()).toBe(900 + LEASE_BOUND_MS);
  });

  it('end with the process that the claim of a leader names as the previous one, when it ran in a box that has restarted', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    const previous = { box: 'box-0', address: 'box-0:1', process: 'box-0#1' };
    leases.recordLeader({ ...toRecord(6), earlierLeasesMs: 700, previous }, 1000);
    expect(leases.getEarlierLeasesEndAt()).toBe(1000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
    leases.recordBoxProcess({ box: 'box-0', address: 'box-0:1', process: 'box-0#3', startedBy: 900 }, 6);
    expect(leases.getEarlierLeasesEndAt()).toBe(900 + LEASE_BOUND_MS);
  });

  it('are not bounded for the previous leader by what a claim says of those before it', () => {
    const leases = new LeaseHistory(LONGEST_LEASE_MS);
    leases.recordLeader(toRecord(1), 1000);
    leases.recordLeader({ ...toRecord(2), earlierLeasesMs: 0, previous: toRecord(1) }, 2000);
    expect(leases.getEarlierLeasesEndAt()).toBe(1000 + LEASE_BOUND_MS + UNCONFIRMED_GRACE_MS);
    leases.recordLeader({ ...toRecord(2), earlierLeasesMs: 3000 }, 2500);
    expect(leases.getEarlierLeasesEndAt()).toBe(5500);
  });
});
