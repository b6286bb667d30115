import { describe, expect, it } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import { toId } from '../packages/common/toId';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import { chooseMoves } from '../packages/dispatch/stops/chooseMoves';
import { FailureStreak } from '../packages/dispatch/stops/FailureStreak';
import { isEvictionDue } from '../packages/dispatch/stops/isEvictionDue';
import { isPreemptionWorthwhile } from '../packages/dispatch/stops/isPreemptionWorthwhile';
import { estimateCapacityWaitMs } from '../packages/dispatch/stops/estimateCapacityWaitMs';
import type { StopPolicyName } from '../packages/dispatch/stops/StopPolicyName';
import { stopPolicies } from '../packages/dispatch/stops/stopPolicies';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobStep } from '../packages/jobs/JobStep';
import { toTaskName } from '../packages/jobs/toTaskName';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';
import { StopWorld } from './helpers/StopWorld';

const URGENT = 0;
const GANG = 1;
const BATCH = 2;

const createJob = (
  number: number,
  priority: number,
  now: number,
  cores: number,
  step: Partial<JobStep>,
): JobDefinition => {
  const demand = { cpuMillis: cores * 1000, memoryMb: 1000, accelerators: 0 };
  const queue = { name: `queue-${priority}`, priority, attempts: 3, stretch: 1.5, targetLatencyMs: 1000 };
  return { ...createJobDefinition(number, [createStep({ demand, ...step })], queue), acceptedAtMs: now };
};

describe('the price of stops', () => {
  const price = {
    lostCoreMs: 20_000,
    roomWaitMs: 3000,
    waitedMs: 0,
    slackMs: 1000,
    allowedMs: 4000,
    waitingCpuMillis: 360_000,
  };

  it('is paid for work that would else be late', () => {
    expect(isPreemptionWorthwhile(price)).toBe(true);
  });

  it('is not paid where the work is in time without, room is about to come, more is lost, or all is lost', () => {
    expect(isPreemptionWorthwhile({ ...price, slackMs: 31_000 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...price, roomWaitMs: 400 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...price, lostCoreMs: 1_000_000 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...price, slackMs: -9000 })).toBe(false);
  });

  it('is paid once the room that is about to come has not come for some time, since others take it', () => {
    const soon = { ...price, roomWaitMs: 400, slackMs: 12_500 };
    expect(isPreemptionWorthwhile({ ...soon, waitedMs: 1200 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...soon, waitedMs: 1300 })).toBe(true);
  });

  it('counts the wait until known ends make room for all tasks, so many to an endpoint', () => {
    const toDemand = (cpuMillis: number) => ({ cpuMillis, memoryMb: 0, accelerators: 0 });
    const holders = [
      { demand: toDemand(4000), remainingMs: 900 },
      { demand: toDemand(4000), remainingMs: 300 },
      { demand: toDemand(8000), remainingMs: Infinity },
    ];
    const endpoints = [{ free: toDemand(4000), holders }];
    expect(estimateCapacityWaitMs(endpoints, toDemand(4000), 1, 0)).toBe(0);
    expect(estimateCapacityWaitMs(endpoints, toDemand(8000), 1, 0)).toBe(300);
    expect(estimateCapacityWaitMs(endpoints, toDemand(4000), 3, 0)).toBe(900);
    expect(estimateCapacityWaitMs(endpoints, toDemand(4000), 3, 2)).toBe(Infinity);
    expect(estimateCapacityWaitMs(endpoints, toDemand(16_000), 1, 0)).toBe(Infinity);
  });
});

describe('moves', () => {
  it('are made for the most urgent and the greatest gain first, so many at once', () => {
    const moves = [
      { priority: BATCH, gainMs: 9000 },
      { priority: URGENT, gainMs: 2000 },
      { priority: URGENT, gainMs: 5000 },
      ...Array.from({ length: 20 }, () => ({ priority: BATCH, gainMs: 1000 })),
    ];
    expect(chooseMoves(moves, 100, 0)).toHaveLength(23);
    expect(chooseMoves(moves, 7, 4).map(({ gainMs }) => gainMs)).toEqual([5000, 2000, 9000]);
    expect(chooseMoves(moves, 7, 9)).toEqual([]);
  });

  it('count only the rest where a stop saves what was done', () => {
    const half = { pace: 45, usualPace: 15, slowPace: 30, percent: 50, stalledMs: 0, moveMs: 300 };
    for (const choice of ['ranked', 'priced'] as const) {
      expect(stopPolicies[choice].findMoveReason({ ...half, isSaving: false })).toBeUndefined();
    }
    expect(stopPolicies.ranked.findMoveReason({ ...half, isSaving: true })).toBeUndefined();
    expect(stopPolicies.priced.findMoveReason({ ...half, isSaving: true })).toBe('slow');
  });

  it('from an endpoint that leaves wait as long as a stop allows where work is saved, and are not made where it can end', () => {
    const left = { leftMs: 3000, remainingMs: 4000 };
    expect(isEvictionDue({ ...left, isSaving: false }, 1300)).toBe(true);
    expect(isEvictionDue({ ...left, isSaving: true }, 1300)).toBe(false);
    expect(isEvictionDue({ ...left, isSaving: true, leftMs: 1200 }, 1300)).toBe(true);
    expect(isEvictionDue({ ...left, isSaving: false, remainingMs: 2900 }, 1300)).toBe(false);
  });
});

describe('single tasks of which one in ten takes seven times as long', () => {
  const USUAL_MS = 700;

  /** Urgent jobs of one task, so that no sibling tells what is usual. */
  const startLoad = (stopChoice: StopPolicyName) => {
    const world = new StopWorld({
      stopChoice,
      endpoints: 4,
      readWorkMs: (job, _task, run) => (run === 1 && job.acceptedAtMs % 1000 === 0 ? 7 : 1) * USUAL_MS,
      stopMs: () => 300,
    });
    const sentAt = new Map<string, number>();
    for (let number = 1; number <= 50; number += 1) {
      world.applyTime(number * 100);
      const job = createJob(number, URGENT, world.now, 10, { count: 1, estimatedMs: USUAL_MS });
      sentAt.set(job.id, world.now);
      world.sendJob(job);
    }
    world.applyTime(15_000);
    const tookMs = [...world.finishedAt].map(([id, at]) => at - sentAt.get(id)!);
    return { inTime: tookMs.filter((ms) => ms <= 1000 + 1.5 * USUAL_MS).length, stops: world.stops };
  };

  it('are caught by the run times that were learnt: 50 of 50 are in time with five moves, for 45', () => {
    expect(startLoad('ranked')).toEqual({ inTime: 45, stops: 0 });
    expect(startLoad('priced')).toEqual({ inTime: 50, stops: 5 });
  });
});

describe('starts whose answers are late, since the leader is slow', () => {
  /** Urgent jobs on a fleet with room; the answers to all starts of two seconds come after the time limit. */
  const startLoad = (stopChoice: StopPolicyName) => {
    const world = new StopWorld({
      stopChoice,
      endpoints: 10,
      readWorkMs: () => 600,
      stopMs: () => 300,
      isAnswerLate: (now) => now > 2000 && now < 4000,
    });
    const sentAt = new Map<string, number>();
    for (let number = 1; number <= 60; number += 1) {
      world.applyTime(number * 100);
      const job = createJob(number, URGENT, world.now, 10, { count: 3, estimatedMs: 600 });
      sentAt.set(job.id, world.now);
      world.sendJob(job);
    }
    world.applyTime(12_000);
    const tookMs = [...world.finishedAt].map(([id, at]) => at - sentAt.get(id)!);
    const inTime = tookMs.filter((ms) => ms <= 1000 + 1.5 * 600).length / sentAt.size;
    return { inTime, lostCoreMs: world.lostCoreMs, stops: world.stops };
  };

  it('are looked for before they are stopped: none of 60 is lost, and none is late', () => {
    for (const choice of ['ranked', 'priced'] as const) {
      expect(startLoad(choice)).toEqual({ inTime: 1, lostCoreMs: 0, stops: 0 });
    }
  });
});

describe('gangs that need large places on a fleet filled with batch work', () => {
  const ENDPOINTS = 16;
  const LOAD_MS = 24_000;

  /** Batch of 7 cores that saves its work fills the fleet; gangs of 8 times 18 cores come; a stop takes up to 0.9 s. */
  const startLoad = (stopChoice: StopPolicyName) => {
    const random = createRandom(11);
    const world = new StopWorld({
      stopChoice,
      endpoints: ENDPOINTS,
      readWorkMs: (job) => (job.queue.priority === GANG ? 3000 : 2500),
      stopMs: () => 400 + 500 * random(),
    });
    const gangs = new Map<string, number>();
    let number = 0;
    let mostStopping = 0;
    while (world.now < LOAD_MS) {
      world.applyTime(world.now + 100);
      if (world.now % 200 === 0) {
        number += 1;
        const batch = { count: 20, estimatedMs: 2500, isCheckpointing: true };
        world.sendJob(createJob(number, BATCH, world.now, 7, batch));
      }
      if (world.now % 2400 === 0 && world.now < LOAD_MS - 6000) {
        number += 1;
        const job = createJob(number, GANG, world.now, 18, { count: 8, estimatedMs: 3000, isGang: true });
        gangs.set(job.id, world.now);
        world.sendJob(job);
      }
      mostStopping = Math.max(mostStopping, ...world.stopsByTask.values());
    }
    world.applyTime(LOAD_MS + 20_000);
    const tookMs = [...gangs].map(([id, at]) => {
      const endedAt = [...world.finishedAt].find(([finished]) => finished === id)?.[1];
      return endedAt === undefined ? Infinity : endedAt - at;
    });
    const inTime = tookMs.filter((ms) => ms <= 1000 + 1.5 * 3000).length;
    return {
      fullest: world.fullest,
      gangs: gangs.size,
      inTime,
      stops: world.stops,
      mostStopping,
      done: world.finishedAt.size,
    };
  };

  it('cost 59 stops when these are priced, for 95, with as many gangs in time, and nobody stopped more often than twice', () => {
    const ranked = startLoad('ranked');
    const priced = startLoad('priced');
    expect(ranked.stops).toBeGreaterThan(50);
    expect(priced.stops).toBeLessThan(ranked.stops);
    expect(priced.inTime).toBeGreaterThanOrEqual(ranked.inTime);
    expect(priced.done).toBeGreaterThanOrEqual(ranked.done);
    expect(priced.mostStopping).toBeLessThanOrEqual(2);
    expect(priced.fullest).toBeLessThanOrEqual(1);
  });
});

describe('endpoints that fail all that they start', () => {
  it('are one by one, with a pause that grows with each failure', () => {
    const streak = new FailureStreak();
    streak.recordEnd('failed', 100);
    expect(streak.isFailing()).toBe(false);
    streak.recordEnd('interrupted', 150);
    streak.recordEnd('failed', 200);
    expect(streak.isFailing()).toBe(true);
    expect(streak.getProbeAt()).toBe(450);
    streak.recordEnd('failed', 500);
    expect(streak.getProbeAt()).toBe(1000);
    streak.recordEnd('done', 600);
    expect(streak.isFailing()).toBe(false);
  });

  /** Batch that waits for room, while two of 16 endpoints fail all for eight seconds. */
  const startLoad = (stopChoice: StopPolicyName, failing: number) => {
    const world = new StopWorld({
      stopChoice,
      endpoints: 16,
      readWorkMs: () => 1500,
      stopMs: () => 300,
      isFailing: (number, now) => number < failing && now > 2000 && now < 10_000,
    });
    for (let number = 1; number <= 50; number += 1) {
      world.applyTime(number * 250);
      world.sendJob(createJob(number, BATCH, world.now, 8, { count: 20, estimatedMs: 1500 }));
    }
    world.applyTime(40_000);
    const states = [...world.progress.values()].map((progress) => progress.getState());
    return {
      failures: world.failures,
      completed: states.filter((state) => state === 'completed').length,
      fullest: world.fullest,
    };
  };

  it('do not use up the attempts of what waits for room elsewhere: 50 of 50 jobs are done, for 43, and 22 runs fail, for 160', () => {
    const ranked = startLoad('ranked', 2);
    const priced = startLoad('priced', 2);
    expect(ranked.completed).toBeLessThan(45);
    expect(priced.completed).toBe(50);
    expect(priced.failures).toBeLessThan(ranked.failures / 5);
  });

  it('stay open where many fail: then the work is at fault, and waiting would help nobody', () => {
    expect(startLoad('priced', 8)).toEqual(startLoad('ranked', 8));
  });
});

describe('endpoints that leave at short notice', () => {
  /** One of five endpoints leaves after 5.5 s, with tasks of 10 s on it that began a second before. */
  const startLoad = (stopChoice: StopPolicyName, step: Partial<JobStep>, workMs: number, cores = 16) => {
    const world = new StopWorld({ stopChoice, endpoints: 5, readWorkMs: () => workMs, stopMs: () => 900 });
    world.applyTime(500);
    world.sendJob(createJob(1, BATCH, world.now, cores, { estimatedMs: workMs, ...step }));
    world.applyTime(1500);
    const used = [4, 3, 2, 1, 0].find((number) => world.readRunningOn(number) > 0)!;
    world.startLeaving(used, 5500);
    world.applyTime(30_000);
    return { endedAt: [...world.finishedAt.values()][0], lostCoreMs: world.lostCoreMs, stops: world.stops };
  };

  it('are left by saved work in time for a stop of 0.9 s, so that nothing is lost', () => {
    const saved = { count: 3, isCheckpointing: true };
    expect(startLoad('ranked', saved, 9500).lostCoreMs).toBeGreaterThan(0);
    expect(startLoad('priced', saved, 9500)).toMatchObject({ lostCoreMs: 0, stops: 3 });
  });

  it('keep what can end there', () => {
    expect(startLoad('priced', { count: 3 }, 5000)).toMatchObject({ lostCoreMs: 0, stops: 0 });
  });

  it('are left at once by a gang that cannot end there, as a whole', () => {
    const gang = { count: 2, isGang: true };
    const ranked = startLoad('ranked', gang, 9500);
    const priced = startLoad('priced', gang, 9500);
    expect(priced.lostCoreMs).toBeLessThan(ranked.lostCoreMs / 2);
    expect(priced.endedAt).toBeLessThan(ranked.endedAt! - 3000);
  });

  it('are left in time by a gang that saves its work, and it goes on from the newest checkpoint of any member', () => {
    const gang = { count: 4, isGang: true, isCheckpointing: true };
    const ranked = startLoad('ranked', gang, 9500, 40);
    const priced = startLoad('priced', gang, 9500, 40);
    // It begins at 0.5 s, and its 9.5 s of work are done but for the orders between.
    expect(priced.endedAt).toBeLessThan(500 + 9500 + 100);
    expect(ranked.endedAt).toBeGreaterThan(500 + 9500 + 500);
    expect(priced.lostCoreMs).toBeLessThan(ranked.lostCoreMs);
  });
});

describe('a start without an answer', () => {
  const ENDPOINT = toId<EndpointIncarnation>('i-0');
  const job = createJob(1, URGENT, 0, 2, { count: 1 });
  const task = toTaskName(job.id, { time: 0, step: 0, index: 0 });
  const running = [{ task, run: 1, checkpoint: '', percent: 40, load: 0 }];

  const createDoubt = (): Dispatcher => {
    const dispatcher = new Dispatcher({
      getDefinition: () => job,
      earlierLeasesEndAt: 0,
      stopChoice: 'priced',
    });
    const capacity = { cpuMillis: 2000, memoryMb: 4000, accelerators: 0 };
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT, { capacity }));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], sentAt: 0 }, 0, 0);
    dispatcher.handleJob(job, new JobProgress(job), 0);
    dispatcher.placeWaiting(10, 10);
    const start = dispatcher.takeEffects().find((effect) => effect.kind === 'start');
    expect(start?.kind === 'start' && dispatcher.handleStartRecorded(start, 20)).toBe(true);
    dispatcher.getEndpointState(ENDPOINT)!.recordLease(9000);
    dispatcher.handleStartResult(ENDPOINT, task, 1, { kind: 'unanswered', detail: '' }, 140);
    return dispatcher;
  };

  const sendLook = (dispatcher: Dispatcher, rows: typeof running, sentAt: number, now: number): void =>
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: rows, ended: [], sentAt }, now, now);

  const readKinds = (dispatcher: Dispatcher): readonly string[] => {
    const kinds = dispatcher.takeEffects().map(({ kind }) => kind);
    return kinds.filter((kind) => ['look', 'stop', 'start'].includes(kind));
  };

  const hasRoom = (dispatcher: Dispatcher): boolean =>
    dispatcher.getEndpointState(ENDPOINT)!.countRuns() === 0;

  it('goes on when a look shows it', () => {
    const dispatcher = createDoubt();
    expect(readKinds(dispatcher)).toEqual(['look']);
    sendLook(dispatcher, running, 150, 160);
    dispatcher.handleTick(600);
    dispatcher.placeWaiting(600, 600);
    expect(readKinds(dispatcher)).toEqual([]);
    expect(dispatcher.getEndpointState(ENDPOINT)!.getRun(task, 1)?.stage).toBe('running');
  });

  it('is not judged by a look that was sent before', () => {
    const dispatcher = createDoubt();
    readKinds(dispatcher);
    sendLook(dispatcher, [], 130, 160);
    expect(readKinds(dispatcher)).toEqual([]);
    expect(hasRoom(dispatcher)).toBe(false);
  });

  it('keeps its room until it is proved absent, also when the answer to the stop is lost and the start arrives late', () => {
    const dispatcher = createDoubt();
    readKinds(dispatcher);
    sendLook(dispatcher, [], 150, 160);
    expect(readKinds(dispatcher)).toEqual(['stop']);
    dispatcher.handleStopResult(ENDPOINT, task, 1, { kind: 'unanswered', detail: '' }, 300);
    // The order was under way all the time, and began after the look.
    sendLook(dispatcher, running, 310, 320);
    expect(hasRoom(dispatcher)).toBe(false);
    dispatcher.handleTick(400);
    dispatcher.handleTick(700);
    expect(readKinds(dispatcher)).toEqual(['stop']);
    sendLook(dispatcher, [], 710, 720);
    expect(hasRoom(dispatcher)).toBe(false);
    dispatcher.handleStopResult(ENDPOINT, task, 1, { kind: 'done' }, 730);
    sendLook(dispatcher, [], 740, 750);
    expect(hasRoom(dispatcher)).toBe(true);
    dispatcher.placeWaiting(760, 760);
    expect(readKinds(dispatcher)).toEqual(['start']);
  });

  it('is over with the lease when nothing is heard any more', () => {
    const dispatcher = createDoubt();
    dispatcher.handleUnreachable(ENDPOINT, 500);
    dispatcher.handleTick(8900);
    expect(hasRoom(dispatcher)).toBe(false);
    dispatcher.handleTick(9001);
    expect(hasRoom(dispatcher)).toBe(true);
  });
});
