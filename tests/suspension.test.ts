/*
 * The monotonic clock does not advance while a machine is suspended. These tests check that leases, cached configuration and responses
 * still expire, so that a resumed process does not act on outdated state.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import { StepFilteredClock } from '../packages/common/StepFilteredClock';
import { createRandom } from '../packages/common/createRandom';
import type { MachineClock } from '../packages/common/MachineClock';
import { SuspensionAwareClock } from '../packages/common/SuspensionAwareClock';
import { LeaderJournal } from '../packages/dispatch/LeaderJournal';
import { JobReplica } from '../packages/jobs/JobReplica';
import { leaderTimings } from '../packages/leadership/leaderTimings';
import { ConfigurationUpdater } from '../packages/serve/ConfigurationUpdater';
import { QueueRouter } from '../packages/gateway/QueueRouter';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';

const STARTED_AT = 1_000_000;
const UPTIME_AT_START_MS = 77_770;
const LOGGER = { info: () => undefined, warn: () => undefined, error: () => undefined };
const handleUnexpectedCall = (): never => {
  throw new Error('not used');
};

/** Machine on virtual time that can be suspended and whose wall clock can be stepped. */
class SimulatedMachine implements MachineClock {
  private monotonicMs = 100;
  private wallStepMs = 0;
  private suspendedMs = 0;
  /** True if the uptime clock is that of another machine, which runs at a different rate. */
  hasForeignUptime = false;
  readonly suspensions: number[] = [];
  readonly unverifiedSteps: number[] = [];
  readonly steps: number[] = [];
  private readonly suspensionAware: SuspensionAwareClock;
  private readonly stepFiltered: StepFilteredClock;

  constructor() {
    this.suspensionAware = new SuspensionAwareClock({
      source: {
        getNow: () => this.monotonicMs,
        getWallTime: () => STARTED_AT + this.monotonicMs + this.suspendedMs + this.wallStepMs,
      },
      readUptimeMs: () => this.computeUptimeMs(),
      handleSuspension: (byMs) => this.suspensions.push(byMs),
      handleUnverifiedStep: (byMs) => this.unverifiedSteps.push(byMs),
      handleUptimeClockChange: () => undefined,
    });
    this.stepFiltered = new StepFilteredClock({
      source: this.suspensionAware,
      handleStep: (byMs) => this.steps.push(byMs),
    });
  }

  getNow(): number {
    return this.suspensionAware.getNow();
  }

  getWallTime(): number {
    return this.stepFiltered.getWallTime();
  }

  getMaxElapsedSince(since: number): number {
    return this.suspensionAware.getMaxElapsedSince(since);
  }

  /** Returns the real time, as other machines measure it. */
  getTrueTime(): number {
    return this.monotonicMs + this.suspendedMs;
  }

  /** Advances the time, and reads the clock every 100 ms. */
  runFor(durationMs: number): void {
    for (const until = this.monotonicMs + durationMs; this.monotonicMs < until; this.monotonicMs += 100) {
      this.getWallTime();
    }
  }

  addSuspension(durationMs: number): void {
    this.suspendedMs += durationMs;
  }

  addWallStep(byMs: number): void {
    this.wallStepMs += byMs;
  }

  private computeUptimeMs(): number {
    const rate = this.hasForeignUptime ? 0.3 : 1;
    return Math.floor((UPTIME_AT_START_MS + (this.monotonicMs + this.suspendedMs) * rate) / 10) * 10;
  }
}

describe('the clocks of a suspended machine', () => {
  let machine: SimulatedMachine;

  beforeEach(() => {
    machine = new SimulatedMachine();
    machine.runFor(5000);
  });

  it('include the suspension, and the wall clock follows at once', () => {
    const before = machine.getNow();
    machine.addSuspension(7000);
    expect(machine.getNow() - before).toBeCloseTo(7000, -2);
    expect(machine.getWallTime() - STARTED_AT - machine.getTrueTime()).toBeCloseTo(0, -2);
    machine.runFor(20_000);
    expect(machine.getNow() - before).toBeCloseTo(27_000, -2);
    expect([machine.suspensions.length, machine.unverifiedSteps, machine.steps]).toEqual([1, [], []]);
  });

  it('distinguish a suspension from a step of the wall clock, also if both happen at once', () => {
    const before = machine.getNow();
    machine.addWallStep(3000);
    expect(machine.getNow()).toBe(before);
    expect(machine.getMaxElapsedSince(before)).toBe(0);
    machine.runFor(1000);
    machine.addWallStep(-3000);
    machine.addSuspension(2000);
    expect(machine.getNow() - before).toBeCloseTo(3000, -2);
    expect(machine.suspensions).toHaveLength(1);
  });

  it('include each of several suspensions', () => {
    const before = machine.getNow();
    for (let count = 0; count < 3; count += 1) {
      machine.addSuspension(2000);
      machine.runFor(1000);
    }
    expect(machine.getNow() - before).toBeCloseTo(9000, -2);
  });

  it('count a forward step only in the upper bound of the elapsed time if the uptime clock is not usable', () => {
    machine.hasForeignUptime = true;
    machine.runFor(5000);
    const before = machine.getNow();
    machine.addSuspension(6000);
    expect(machine.getNow()).toBe(before);
    expect(machine.getMaxElapsedSince(before - 100)).toBe(6100);
    machine.runFor(100);
    expect(machine.getMaxElapsedSince(machine.getNow())).toBe(0);
    expect([machine.suspensions, machine.unverifiedSteps]).toEqual([[], [6000]]);
    machine.addWallStep(-2000);
    expect(machine.getMaxElapsedSince(before - 100)).toBe(6200);
  });
});

describe.each([false, true])('a suspended box (uptime clock of another machine: %s)', (hasForeignUptime) => {
  let machine: SimulatedMachine;

  beforeEach(() => {
    machine = new SimulatedMachine();
    machine.hasForeignUptime = hasForeignUptime;
    machine.runFor(5000);
  });

  it('does not renew leases after its leadership may have expired, even if an older write is acknowledged then', async () => {
    const pendingResponses: (() => void)[] = [];
    const client: LogClient = {
      append: () =>
        new Promise((resolve) => {
          pendingResponses.push(() => resolve({ ok: true, value: 0 }));
        }),
      readRecords: handleUnexpectedCall,
      readPageOfNewestByKey: handleUnexpectedCall,
      stop: () => Promise.resolve(),
    };
    const journal = new LeaderJournal({
      epoch: 3,
      claimedAt: machine.getNow(),
      client,
      statesTopic: 'keyed.states',
      progressTopic: 'keyed.progress',
      maxAppendBytes: 1000,
      replica: new JobReplica(),
      clock: machine,
      logger: LOGGER,
      formatLeaderRecord: () => 'leader',
      handleLeaderRecordWritten: () => undefined,
      handleUnwritableProgress: handleUnexpectedCall,
      handleFenced: handleUnexpectedCall,
      handleLogRecovered: () => undefined,
    });
    const isRenewing = (): boolean => journal.hasAckedWriteWithin(leaderTimings.unconfirmedGraceMs);
    const startAppend = async (): Promise<void> => {
      journal.handleTick(machine.getNow() + leaderTimings.heartbeatMs);
      while (pendingResponses.length === 0) {
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    };
    expect(isRenewing()).toBe(true);
    await startAppend();
    machine.addSuspension(leaderTimings.unconfirmedGraceMs + 500);
    expect(isRenewing()).toBe(false);
    pendingResponses.shift()!();
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(isRenewing()).toBe(false);
    machine.runFor(100);
    await startAppend();
    pendingResponses.shift()!();
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(isRenewing()).toBe(true);
    journal.stop();
  });

  it('considers the configuration from before the suspension outdated', () => {
    const followedAt = machine.getNow();
    const desk = new ConfigurationUpdater({
      adapter: { configurationKey: 'config', parseConfiguration: handleUnexpectedCall },
      router: new QueueRouter(),
      source: 'log',
      clock: machine,
      random: createRandom(1),
      logger: LOGGER,
      maxAgeMs: 5000,
      isTopicUpToDate: () => true,
      getLastReadAt: () => followedAt,
      handleConfiguration: () => undefined,
      listOthers: () => [],
    });
    expect(desk.isFresh()).toBe(true);
    machine.addSuspension(5500);
    expect(desk.isFresh()).toBe(false);
  });
});

describe('a response of the log that arrived during a suspension', () => {
  it('counts as no newer than the time at which it can have been sent', async () => {
    const machine = new SimulatedMachine();
    machine.runFor(5000);
    let sendResponse: (() => void) | undefined;
    const client: LogClient = {
      append: handleUnexpectedCall,
      readPageOfNewestByKey: () =>
        Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
      readRecords: () =>
        new Promise((resolve) => {
          sendResponse = () => resolve({ ok: true, value: { records: [], endOffset: 0 } });
        }),
      stop: () => Promise.resolve(),
    };
    const follower = new LogFollower({
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      client,
      topic: 'keyed.states',
      clock: machine,
      random: () => 0.5,
      pauseMs: 0,
      pollWaitMs: 500,
      handleRecords: () => undefined,
    });
    void follower.start();
    while (sendResponse === undefined) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const sentAt = machine.getNow();
    machine.addSuspension(6000);
    sendResponse();
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(machine.getNow() - sentAt).toBeCloseTo(6000, -2);
    expect(follower.getLastSuccessAt() - sentAt).toBeLessThanOrEqual(1000);
    follower.stop();
  });
});
