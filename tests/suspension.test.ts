/*
 * A machine may be suspended for seconds. Its monotonic clock stands still meanwhile, so that everything looks as young on waking as before:
 * a leader that slept beyond its right would go on giving leases, a box would serve by a configuration that it takes for fresh, and an answer
 * that waited in a socket would count as new. It is the class of the incident: what held when it was learnt is acted on when it no longer does.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import { StepFilteredClock } from '../packages/common/StepFilteredClock';
import { createRandom } from '../packages/common/createRandom';
import type { MachineClock } from '../packages/common/MachineClock';
import { SuspensionAwareClock } from '../packages/common/SuspensionAwareClock';
import { LeaderJournal } from '../packages/dispatch/LeaderJournal';
import { JobReplica } from '../packages/jobs/JobReplica';
import { leaderTimings } from '../packages/leadership/leaderTimings';
import { ConfigurationDesk } from '../packages/serve/ConfigurationDesk';
import { QueueRouter } from '../packages/gateway/QueueRouter';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';

const STARTED_AT = 1_000_000;
const BOOTED_BEFORE_MS = 77_770;
const LOGGER = { info: () => undefined, warn: () => undefined, error: () => undefined };
const stopUnused = (): never => {
  throw new Error('not used');
};

/** A machine whose clocks tests move. */
class Machine implements MachineClock {
  private steady = 100;
  private stepMs = 0;
  private sleptMs = 0;
  /** The boot clock of another machine, which runs at its own pace. */
  isForeign = false;
  readonly suspensions: number[] = [];
  readonly doubts: number[] = [];
  readonly moves: number[] = [];
  private readonly machineClock: SuspensionAwareClock;
  private readonly anchored: StepFilteredClock;

  constructor() {
    this.machineClock = new SuspensionAwareClock({
      source: {
        readNow: () => this.steady,
        readWall: () => STARTED_AT + this.steady + this.sleptMs + this.stepMs,
      },
      readUptimeMs: () => this.readBootMs(),
      handleSuspension: (byMs) => this.suspensions.push(byMs),
      handleUnverifiedStep: (byMs) => this.doubts.push(byMs),
      handleUptimeClockChange: () => undefined,
    });
    this.anchored = new StepFilteredClock({
      source: this.machineClock,
      handleStep: (byMs) => this.moves.push(byMs),
    });
  }

  readNow(): number {
    return this.machineClock.readNow();
  }

  readWall(): number {
    return this.anchored.readWall();
  }

  readLongestSince(since: number): number {
    return this.machineClock.readLongestSince(since);
  }

  /** True time, as other machines see it. */
  readTrueNow(): number {
    return this.steady + this.sleptMs;
  }

  /** Lets time pass; the clocks are read every 100 ms. */
  start(forMs: number): void {
    for (const until = this.steady + forMs; this.steady < until; this.steady += 100) {
      this.readWall();
    }
  }

  applySleep(forMs: number): void {
    this.sleptMs += forMs;
  }

  applyStep(byMs: number): void {
    this.stepMs += byMs;
  }

  private readBootMs(): number {
    const pace = this.isForeign ? 0.3 : 1;
    return Math.floor((BOOTED_BEFORE_MS + (this.steady + this.sleptMs) * pace) / 10) * 10;
  }
}

describe('the clocks of a machine that is suspended', () => {
  let machine: Machine;

  beforeEach(() => {
    machine = new Machine();
    machine.start(5000);
  });

  it('count the time, and the time of day goes on with them at once', () => {
    const before = machine.readNow();
    machine.applySleep(7000);
    expect(machine.readNow() - before).toBeCloseTo(7000, -2);
    expect(machine.readWall() - STARTED_AT - machine.readTrueNow()).toBeCloseTo(0, -2);
    machine.start(20_000);
    expect(machine.readNow() - before).toBeCloseTo(27_000, -2);
    expect([machine.suspensions.length, machine.doubts, machine.moves]).toEqual([1, [], []]);
  });

  it('tell it from a jump of the time of day, and from both together', () => {
    const before = machine.readNow();
    machine.applyStep(3000);
    expect(machine.readNow()).toBe(before);
    expect(machine.readLongestSince(before)).toBe(0);
    machine.start(1000);
    machine.applyStep(-3000);
    machine.applySleep(2000);
    expect(machine.readNow() - before).toBeCloseTo(3000, -2);
    expect(machine.suspensions).toHaveLength(1);
  });

  it('count each of several', () => {
    const before = machine.readNow();
    for (let count = 0; count < 3; count += 1) {
      machine.applySleep(2000);
      machine.start(1000);
    }
    expect(machine.readNow() - before).toBeCloseTo(9000, -2);
  });

  it('take a jump ahead for time that may have passed where the boot clock is none, for rights alone', () => {
    machine.isForeign = true;
    machine.start(5000);
    const before = machine.readNow();
    machine.applySleep(6000);
    expect(machine.readNow()).toBe(before);
    expect(machine.readLongestSince(before - 100)).toBe(6100);
    machine.start(100);
    expect(machine.readLongestSince(machine.readNow())).toBe(0);
    expect([machine.suspensions, machine.doubts]).toEqual([[], [6000]]);
    machine.applyStep(-2000);
    expect(machine.readLongestSince(before - 100)).toBe(6200);
  });
});

describe.each([false, true])('a box that was suspended (boot clock of another machine: %s)', (isForeign) => {
  let machine: Machine;

  beforeEach(() => {
    machine = new Machine();
    machine.isForeign = isForeign;
    machine.start(5000);
  });

  it('gives no leases by a right that ran out meanwhile, also when an older write is answered then', async () => {
    const answers: (() => void)[] = [];
    const client: LogClient = {
      append: () =>
        new Promise((resolve) => {
          answers.push(() => resolve({ ok: true, value: 0 }));
        }),
      readRecords: stopUnused,
      readNewestPage: stopUnused,
      stop: () => Promise.resolve(),
    };
    const journal = new LeaderJournal({
      epoch: 3,
      claimedAt: machine.readNow(),
      client,
      statesTopic: 'keyed.states',
      progressTopic: 'keyed.progress',
      maxAppendBytes: 1000,
      replica: new JobReplica(),
      clock: machine,
      logger: LOGGER,
      formatLeaderRecord: () => 'leader',
      handleFenced: stopUnused,
      handleLogRecovered: () => undefined,
    });
    const isRenewing = (): boolean => journal.isAcknowledgedWithin(leaderTimings.unconfirmedGraceMs);
    const startAppend = async (): Promise<void> => {
      journal.handleTick(machine.readNow() + leaderTimings.heartbeatMs);
      while (answers.length === 0) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    };
    expect(isRenewing()).toBe(true);
    await startAppend();
    machine.applySleep(leaderTimings.unconfirmedGraceMs + 500);
    expect(isRenewing()).toBe(false);
    answers.shift()!();
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(isRenewing()).toBe(false);
    machine.start(100);
    await startAppend();
    answers.shift()!();
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(isRenewing()).toBe(true);
    journal.stop();
  });

  it('takes no configuration for fresh that it knew before', () => {
    const followedAt = machine.readNow();
    const desk = new ConfigurationDesk({
      adapter: { configurationKey: 'config', parseConfiguration: stopUnused },
      router: new QueueRouter(),
      source: 'log',
      clock: machine,
      random: createRandom(1),
      logger: LOGGER,
      maxAgeMs: 5000,
      isFollowing: () => true,
      readFollowedAt: () => followedAt,
      readOthers: () => [],
    });
    expect(desk.isFresh()).toBe(true);
    machine.applySleep(5500);
    expect(desk.isFresh()).toBe(false);
  });
});

describe('an answer of the log that waited while the machine was suspended', () => {
  it('tells nothing newer than when it can have been given', async () => {
    const machine = new Machine();
    machine.start(5000);
    let startAnswer: (() => void) | undefined;
    const client: LogClient = {
      append: stopUnused,
      readNewestPage: () =>
        Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
      readRecords: () =>
        new Promise((resolve) => {
          startAnswer = () => resolve({ ok: true, value: { records: [], endOffset: 0 } });
        }),
      stop: () => Promise.resolve(),
    };
    const follower = new LogFollower({
      client,
      topic: 'keyed.states',
      clock: machine,
      random: () => 0.5,
      pauseMs: 0,
      pollMs: 500,
      handleRecords: () => undefined,
    });
    void follower.start();
    while (startAnswer === undefined) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const sentAt = machine.readNow();
    machine.applySleep(6000);
    startAnswer();
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(machine.readNow() - sentAt).toBeCloseTo(6000, -2);
    expect(follower.getLastSuccessAt() - sentAt).toBeLessThanOrEqual(1000);
    follower.stop();
  });
});
