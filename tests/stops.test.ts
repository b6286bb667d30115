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
import { StopSimulation } from './helpers/StopSimulation';

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

describe('the estimate of a preemption', () => {
  const estimate = {
    lostCoreMs: 20_000,
    roomWaitMs: 3000,
    waitedMs: 0,
    slackMs: 1000,
    allowedMs: 4000,
    waitingCpuMillis: 360_000,
  };

  it('is worthwhile for work that would otherwise be late', () => {
    expect(isPreemptionWorthwhile(estimate)).toBe(true);
  });

  it('is not worthwhile when the step will be in time anyway, capacity is about to be freed, the loss is larger, or the step is far too late', () => {
    expect(isPreemptionWorthwhile({ ...estimate, slackMs: 31_000 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...estimate, roomWaitMs: 400 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...estimate, lostCoreMs: 1_000_000 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...estimate, slackMs: -9000 })).toBe(false);
  });

  it('is worthwhile once the step has waited for some time, although capacity is about to be freed', () => {
    const freedSoon = { ...estimate, roomWaitMs: 400, slackMs: 12_500 };
    expect(isPreemptionWorthwhile({ ...freedSoon, waitedMs: 1200 })).toBe(false);
    expect(isPreemptionWorthwhile({ ...freedSoon, waitedMs: 1300 })).toBe(true);
  });

  it('takes the wait until running tasks free enough capacity, within the limit of tasks per endpoint', () => {
    const toDemand = (cpuMillis: number) => ({ cpuMillis, memoryMb: 0, accelerators: 0 });
    const holders = [
      { demand: toDemand(4000), remainingMs: 900 },
      { demand: toDemand(4000), remainingMs: 300 },
      { demand: toDemand(8000), remainingMs: Infinity },
    ];
    const endpoints = [{ freeCapacity: toDemand(4000), capacityHolders: holders }];
    expect(estimateCapacityWaitMs(endpoints, toDemand(4000), 1, 0)).toBe(0);
    expect(estimateCapacityWaitMs(endpoints, toDemand(8000), 1, 0)).toBe(300);
    expect(estimateCapacityWaitMs(endpoints, toDemand(4000), 3, 0)).toBe(900);
    expect(estimateCapacityWaitMs(endpoints, toDemand(4000), 3, 2)).toBe(Infinity);
    expect(estimateCapacityWaitMs(endpoints, toDemand(16_000), 1, 0)).toBe(Infinity);
  });
});

describe('moves', () => {
  it('are made by priority, then by gain, up to a limit at once', () => {
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

  it('are decided under `priced` by the remaining work of a run that saves the rest', () => {
    const straggler = { pace: 45, baselinePace: 15, slowPace: 30, percent: 50, stalledMs: 0, moveMs: 300 };
    for (const policy of ['ranked', 'priced'] as const) {
      expect(stopPolicies[policy].findMoveReason({ ...straggler, isSavingOnStop: false })).toBeUndefined();
    }
    expect(stopPolicies.ranked.findMoveReason({ ...straggler, isSavingOnStop: true })).toBeUndefined();
    expect(stopPolicies.priced.findMoveReason({ ...straggler, isSavingOnStop: true })).toBe('slow');
  });

  it('off a draining endpoint are made as late as possible for runs that save their work, at once for others, and not for runs that end in time', () => {
    const input = { untilDrainDeadlineMs: 3000, remainingMs: 4000 };
    expect(isEvictionDue({ ...input, isSavingOnStop: false }, 1300)).toBe(true);
    expect(isEvictionDue({ ...input, isSavingOnStop: true }, 1300)).toBe(false);
    expect(isEvictionDue({ ...input, isSavingOnStop: true, untilDrainDeadlineMs: 1200 }, 1300)).toBe(true);
    expect(isEvictionDue({ ...input, isSavingOnStop: false, remainingMs: 2900 }, 1300)).toBe(false);
  });
});

describe('jobs of one task, one in ten of which takes seven times as long', () => {
  const BASELINE_MS = 700;

  /** Runs urgent jobs of one task, which have no siblings to be compared with. */
  const runSimulation = (stopChoice: StopPolicyName) => {
    const simulation = new StopSimulation({
      stopChoice,
      endpoints: 4,
      getWorkMs: (job, _task, run) => (run === 1 && job.acceptedAtMs % 1000 === 0 ? 7 : 1) * BASELINE_MS,
      getStopMs: () => 300,
    });
    const sentAt = new Map<string, number>();
    for (let number = 1; number <= 50; number += 1) {
      simulation.runUntil(number * 100);
      const job = createJob(number, URGENT, simulation.now, 10, { count: 1, estimatedMs: BASELINE_MS });
      sentAt.set(job.id, simulation.now);
      simulation.sendJob(job);
    }
    simulation.runUntil(15_000);
    const durationsMs = [...simulation.finishedAt].map(([id, at]) => at - sentAt.get(id)!);
    return {
      inTime: durationsMs.filter((ms) => ms <= 1000 + 1.5 * BASELINE_MS).length,
      stops: simulation.stops,
    };
  };

  it('are all in time under `priced`, which compares stragglers with learnt run times', () => {
    expect(runSimulation('ranked')).toEqual({ inTime: 45, stops: 0 });
    expect(runSimulation('priced')).toEqual({ inTime: 50, stops: 5 });
  });
});

describe('start commands whose responses are late', () => {
  /** Runs urgent jobs on a cluster with free capacity. For two seconds the responses to all starts miss the time limit. */
  const runSimulation = (stopChoice: StopPolicyName) => {
    const simulation = new StopSimulation({
      stopChoice,
      endpoints: 10,
      getWorkMs: () => 600,
      getStopMs: () => 300,
      isResponseLate: (now) => now > 2000 && now < 4000,
    });
    const sentAt = new Map<string, number>();
    for (let number = 1; number <= 60; number += 1) {
      simulation.runUntil(number * 100);
      const job = createJob(number, URGENT, simulation.now, 10, { count: 3, estimatedMs: 600 });
      sentAt.set(job.id, simulation.now);
      simulation.sendJob(job);
    }
    simulation.runUntil(12_000);
    const durationsMs = [...simulation.finishedAt].map(([id, at]) => at - sentAt.get(id)!);
    const inTime = durationsMs.filter((ms) => ms <= 1000 + 1.5 * 600).length / sentAt.size;
    return { inTime, lostCoreMs: simulation.lostCoreMs, stops: simulation.stops };
  };

  it('are checked by a poll before they are stopped, so that no run is lost and no job is late', () => {
    for (const policy of ['ranked', 'priced'] as const) {
      expect(runSimulation(policy)).toEqual({ inTime: 1, lostCoreMs: 0, stops: 0 });
    }
  });
});

describe('gangs of large tasks on a cluster filled with batch work', () => {
  const ENDPOINTS = 16;
  const LOAD_MS = 24_000;

  /** Fills the cluster with batch tasks of 7 cores that keep checkpoints, and sends gangs of 8 tasks of 18 cores. Stops take up to 0.9 s. */
  const runSimulation = (stopChoice: StopPolicyName) => {
    const random = createRandom(11);
    const simulation = new StopSimulation({
      stopChoice,
      endpoints: ENDPOINTS,
      getWorkMs: (job) => (job.queue.priority === GANG ? 3000 : 2500),
      getStopMs: () => 400 + 500 * random(),
    });
    const gangs = new Map<string, number>();
    let number = 0;
    let maxStopsByTask = 0;
    while (simulation.now < LOAD_MS) {
      simulation.runUntil(simulation.now + 100);
      if (simulation.now % 200 === 0) {
        number += 1;
        const batch = { count: 20, estimatedMs: 2500, isCheckpointing: true };
        simulation.sendJob(createJob(number, BATCH, simulation.now, 7, batch));
      }
      if (simulation.now % 2400 === 0 && simulation.now < LOAD_MS - 6000) {
        number += 1;
        const job = createJob(number, GANG, simulation.now, 18, {
          count: 8,
          estimatedMs: 3000,
          isGang: true,
        });
        gangs.set(job.id, simulation.now);
        simulation.sendJob(job);
      }
      maxStopsByTask = Math.max(maxStopsByTask, ...simulation.stopsByTask.values());
    }
    simulation.runUntil(LOAD_MS + 20_000);
    const durationsMs = [...gangs].map(([id, at]) => {
      const endedAt = [...simulation.finishedAt].find(([finished]) => finished === id)?.[1];
      return endedAt === undefined ? Infinity : endedAt - at;
    });
    const inTime = durationsMs.filter((ms) => ms <= 1000 + 1.5 * 3000).length;
    return {
      maxUtilization: simulation.maxUtilization,
      gangs: gangs.size,
      inTime,
      stops: simulation.stops,
      maxStopsByTask,
      done: simulation.finishedAt.size,
    };
  };

  it('cause fewer stops under `priced`, with as many gangs in time and no task stopped more than twice', () => {
    const ranked = runSimulation('ranked');
    const priced = runSimulation('priced');
    expect(ranked.stops).toBeGreaterThan(50);
    expect(priced.stops).toBeLessThan(ranked.stops);
    expect(priced.inTime).toBeGreaterThanOrEqual(ranked.inTime);
    expect(priced.done).toBeGreaterThanOrEqual(ranked.done);
    expect(priced.maxStopsByTask).toBeLessThanOrEqual(2);
    expect(priced.maxUtilization).toBeLessThanOrEqual(1);
  });
});

describe('endpoints that fail every run', () => {
  it('have a streak of failures whose backoff grows with each failure', () => {
    const streak = new FailureStreak();
    streak.recordRunEnd('failed', 100);
    expect(streak.isFailing()).toBe(false);
    streak.recordRunEnd('interrupted', 150);
    streak.recordRunEnd('failed', 200);
    expect(streak.isFailing()).toBe(true);
    expect(streak.getProbeAt()).toBe(450);
    streak.recordRunEnd('failed', 500);
    expect(streak.getProbeAt()).toBe(1000);
    streak.recordRunEnd('done', 600);
    expect(streak.isFailing()).toBe(false);
  });

  /** Runs batch jobs that wait for capacity, while some of 16 endpoints fail every run for eight seconds. */
  const runSimulation = (stopChoice: StopPolicyName, failing: number) => {
    const simulation = new StopSimulation({
      stopChoice,
      endpoints: 16,
      getWorkMs: () => 1500,
      getStopMs: () => 300,
      isFailing: (number, now) => number < failing && now > 2000 && now < 10_000,
    });
    for (let number = 1; number <= 50; number += 1) {
      simulation.runUntil(number * 250);
      simulation.sendJob(createJob(number, BATCH, simulation.now, 8, { count: 20, estimatedMs: 1500 }));
    }
    simulation.runUntil(40_000);
    const states = [...simulation.progress.values()].map((progress) => progress.getState());
    return {
      failures: simulation.failures,
      completed: states.filter((state) => state === 'completed').length,
      maxUtilization: simulation.maxUtilization,
    };
  };

  it('do not use up the attempts of waiting tasks under `priced`, which quarantines them', () => {
    const ranked = runSimulation('ranked', 2);
    const priced = runSimulation('priced', 2);
    expect(ranked.completed).toBeLessThan(45);
    expect(priced.completed).toBe(50);
    expect(priced.failures).toBeLessThan(ranked.failures / 5);
  });

  it('are not quarantined when many fail, since the work is likely at fault', () => {
    expect(runSimulation('priced', 8)).toEqual(runSimulation('ranked', 8));
  });
});

describe('endpoints that drain at short notice', () => {
  /** Starts tasks, and a second later drains one of the five endpoints that run any, with a deadline of 5.5 s. */
  const runSimulation = (stopChoice: StopPolicyName, step: Partial<JobStep>, workMs: number, cores = 16) => {
    const simulation = new StopSimulation({
      stopChoice,
      endpoints: 5,
      getWorkMs: () => workMs,
      getStopMs: () => 900,
    });
    simulation.runUntil(500);
    simulation.sendJob(createJob(1, BATCH, simulation.now, cores, { estimatedMs: workMs, ...step }));
    simulation.runUntil(1500);
    const draining = [4, 3, 2, 1, 0].find((number) => simulation.countRunsOn(number) > 0)!;
    simulation.startDraining(draining, 5500);
    simulation.runUntil(30_000);
    return {
      endedAt: [...simulation.finishedAt.values()][0],
      lostCoreMs: simulation.lostCoreMs,
      stops: simulation.stops,
    };
  };

  it('lose no work that is saved, since it is evicted in time for a stop of 0.9 s', () => {
    const saved = { count: 3, isCheckpointing: true };
    expect(runSimulation('ranked', saved, 9500).lostCoreMs).toBeGreaterThan(0);
    expect(runSimulation('priced', saved, 9500)).toMatchObject({ lostCoreMs: 0, stops: 3 });
  });

  it('keep runs that end before the deadline', () => {
    expect(runSimulation('priced', { count: 3 }, 5000)).toMatchObject({ lostCoreMs: 0, stops: 0 });
  });

  it('cause the eviction of a whole gang at once when it cannot end there', () => {
    const gang = { count: 2, isGang: true };
    const ranked = runSimulation('ranked', gang, 9500);
    const priced = runSimulation('priced', gang, 9500);
    expect(priced.lostCoreMs).toBeLessThan(ranked.lostCoreMs / 2);
    expect(priced.endedAt).toBeLessThan(ranked.endedAt! - 3000);
  });

  it('cause a timely eviction of a gang that keeps checkpoints, which resumes from the newest of any member', () => {
    const gang = { count: 4, isGang: true, isCheckpointing: true };
    const ranked = runSimulation('ranked', gang, 9500, 40);
    const priced = runSimulation('priced', gang, 9500, 40);
    // The gang starts at 0.5 s and has 9.5 s of work; 100 ms are left for commands.
    expect(priced.endedAt).toBeLessThan(500 + 9500 + 100);
    expect(ranked.endedAt).toBeGreaterThan(500 + 9500 + 500);
    expect(priced.lostCoreMs).toBeLessThan(ranked.lostCoreMs);
  });
});

describe('a start command without a response', () => {
  const ENDPOINT = toId<EndpointIncarnation>('i-0');
  const job = createJob(1, URGENT, 0, 2, { count: 1 });
  const task = toTaskName(job.id, { repetition: 0, step: 0, index: 0 });
  const running = [{ task, run: 1, checkpoint: '', percent: 40, load: 0 }];

  const createUnanswered = (): Dispatcher => {
    const dispatcher = new Dispatcher({
      getDefinition: () => job,
      earlierLeasesEndAt: 0,
      stopChoice: 'priced',
    });
    const capacity = { cpuMillis: 2000, memoryMb: 4000, accelerators: 0 };
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT, { capacity }));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], pollSentAt: 0 }, 0, 0);
    dispatcher.handleJob(job, new JobProgress(job), 0);
    dispatcher.placeWaiting(10, 10);
    const start = dispatcher.takeEffects().find((effect) => effect.kind === 'start');
    expect(start?.kind === 'start' && dispatcher.handleStartRecorded(start, 20)).toBe(true);
    dispatcher.getEndpointState(ENDPOINT)!.recordLease(9000);
    dispatcher.handleStartResult(ENDPOINT, task, 1, { kind: 'unanswered', detail: '' }, 140);
    return dispatcher;
  };

  const sendStatus = (dispatcher: Dispatcher, rows: typeof running, sentAt: number, now: number): void =>
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: rows, ended: [], pollSentAt: sentAt }, now, now);

  const listEffectKinds = (dispatcher: Dispatcher): readonly string[] => {
    const kinds = dispatcher.takeEffects().map(({ kind }) => kind);
    return kinds.filter((kind) => ['look', 'stop', 'start'].includes(kind));
  };

  const isFree = (dispatcher: Dispatcher): boolean =>
    dispatcher.getEndpointState(ENDPOINT)!.countRuns() === 0;

  it('is accepted when a poll lists the run', () => {
    const dispatcher = createUnanswered();
    expect(listEffectKinds(dispatcher)).toEqual(['look']);
    sendStatus(dispatcher, running, 150, 160);
    dispatcher.handleTick(600);
    dispatcher.placeWaiting(600, 600);
    expect(listEffectKinds(dispatcher)).toEqual([]);
    expect(dispatcher.getEndpointState(ENDPOINT)!.getRun(task, 1)?.stage).toBe('running');
  });

  it('is not affected by a poll that was sent before', () => {
    const dispatcher = createUnanswered();
    listEffectKinds(dispatcher);
    sendStatus(dispatcher, [], 130, 160);
    expect(listEffectKinds(dispatcher)).toEqual([]);
    expect(isFree(dispatcher)).toBe(false);
  });

  it('holds its capacity until the run is known to be absent, even if the response to the stop is lost and the start arrives late', () => {
    const dispatcher = createUnanswered();
    listEffectKinds(dispatcher);
    sendStatus(dispatcher, [], 150, 160);
    expect(listEffectKinds(dispatcher)).toEqual(['stop']);
    dispatcher.handleStopResult(ENDPOINT, task, 1, { kind: 'unanswered', detail: '' }, 300);
    // The start command was delayed, and its run began after the poll.
    sendStatus(dispatcher, running, 310, 320);
    expect(isFree(dispatcher)).toBe(false);
    dispatcher.handleTick(400);
    dispatcher.handleTick(700);
    expect(listEffectKinds(dispatcher)).toEqual(['stop']);
    sendStatus(dispatcher, [], 710, 720);
    expect(isFree(dispatcher)).toBe(false);
    dispatcher.handleStopResult(ENDPOINT, task, 1, { kind: 'done' }, 730);
    sendStatus(dispatcher, [], 740, 750);
    expect(isFree(dispatcher)).toBe(true);
    dispatcher.placeWaiting(760, 760);
    expect(listEffectKinds(dispatcher)).toEqual(['start']);
  });

  it('ends with the lease when the endpoint stays unreachable', () => {
    const dispatcher = createUnanswered();
    dispatcher.handleEndpointUnreachable(ENDPOINT, 500);
    dispatcher.handleTick(8900);
    expect(isFree(dispatcher)).toBe(false);
    dispatcher.handleTick(9001);
    expect(isFree(dispatcher)).toBe(true);
  });
});
