import { describe, expect, it } from 'vitest';
import { createRandom } from '../packages/common/createRandom';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndedTaskStatus } from '../packages/dispatch/endpoints/EndedTaskStatus';
import { LabelSlowdowns } from '../packages/dispatch/placing/LabelSlowdowns';
import type { SpeedPolicyName } from '../packages/dispatch/placing/SpeedPolicyName';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobId } from '../packages/jobs/JobId';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { TaskName } from '../packages/jobs/TaskName';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

describe('the slowdown of a kind of endpoint', () => {
  it('is that of the most widely shared label, once enough runs are known', () => {
    const kinds = new LabelSlowdowns();
    const record = (labels: readonly string[], slowdown: number, count: number): void => {
      Array.from({ length: count }).forEach(() => kinds.recordRunSlowdown(labels, slowdown));
    };
    record(['b', 'rack-1'], 1.3, 60);
    expect(kinds.getSlowdown(['b', 'rack-1'])).toBe(1);
    record(['b', 'rack-2'], 1.3, 60);
    record(['a', 'rack-3'], 0.9, 300);
    expect(kinds.getSlowdown(['b', 'rack-1'])).toBeCloseTo(1.3);
    expect(kinds.getSlowdown(['b', 'rack-9'])).toBeCloseTo(1.3);
    expect(kinds.getSlowdown(['a', 'rack-3'])).toBeCloseTo(0.9);
    expect(kinds.getSlowdown([])).toBe(1);
  });

  it('is not affected by single very slow runs, and follows a change', () => {
    const kinds = new LabelSlowdowns();
    for (let run = 0; run < 1000; run += 1) {
      kinds.recordRunSlowdown(['a'], run % 50 === 0 ? 40 : 1);
    }
    expect(kinds.getSlowdown(['a'])).toBeLessThan(1.05);
    for (let run = 0; run < 8000; run += 1) {
      kinds.recordRunSlowdown(['a'], 1.5);
    }
    expect(kinds.getSlowdown(['a'])).toBeGreaterThan(1.45);
  });
});

const TICK_MS = 10;
const LOAD_MS = 30_000;
const WARM_UP_MS = 5000;
const SLOWDOWN = 1.3;
const ENDPOINTS = 30;
/** Interval of urgent jobs of ten tasks. */
const URGENT_INTERVAL_MS = 160;
/** Interval of batch jobs of 20 tasks. Together with the urgent jobs they use seven tenths of the capacity. */
const BATCH_INTERVAL_MS = 1400;
/** Multiple of the longest task's time on a fast endpoint within which an urgent job counts as in time. */
const IN_TIME_FACTOR = 1.15;

interface SimulatedRun {
  readonly task: TaskName;
  readonly run: number;
  readonly startedAt: number;
  readonly endsAt: number;
}

interface SimulatedJob {
  readonly sentAt: number;
  readonly criticalPathMs: number;
  readonly workMs: readonly number[];
  readonly isUrgent: boolean;
}

/**
 * Runs urgent and batch jobs on endpoints of which a third have a slowdown of 1.3. Returns the share of urgent jobs in time, and the
 * mean time of batch jobs in milliseconds.
 */
const runSimulation = (
  speedChoice: SpeedPolicyName,
): { readonly urgent: number; readonly batchMs: number } => {
  const random = createRandom(7);
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0, speedChoice });
  const running = new Map<EndpointIncarnation, SimulatedRun[]>();
  const jobs = new Map<JobId, SimulatedJob>();
  const durations: { readonly job: SimulatedJob; readonly ms: number }[] = [];
  const slow = new Set<EndpointIncarnation>();
  for (let number = 0; number < ENDPOINTS; number += 1) {
    const isSlow = number % 3 === 2;
    const capacity = { cpuMillis: 32_000, memoryMb: 64_000, accelerators: 0 };
    const profile = createProfile(`i-${number}`, {
      capacity,
      labels: [isSlow ? 'b' : 'a', `rack-${number % 5}`],
    });
    dispatcher.handleEndpointProfile(profile);
    dispatcher.handleStatus({ endpoint: profile.incarnation, running: [], ended: [], pollSentAt: 0 }, 0, 0);
    running.set(profile.incarnation, []);
    if (isSlow) {
      slow.add(profile.incarnation);
    }
  }

  const sendJob = (now: number, isUrgent: boolean): void => {
    const count = isUrgent ? 10 : 20;
    const demand = { cpuMillis: isUrgent ? 4500 : 9000, memoryMb: 6400, accelerators: 0 };
    const meanMs = isUrgent ? 640 : 3800;
    const steps = [createStep({ count, demand, estimatedMs: meanMs })];
    const definition = {
      ...createJobDefinition(jobs.size + 1, steps, { priority: isUrgent ? 0 : 2, attempts: 100 }),
      acceptedAtMs: now,
    };
    const workMs = Array.from({ length: count }, () => meanMs * (0.7 + 0.6 * random()));
    jobs.set(definition.id, { sentAt: now, criticalPathMs: Math.max(...workMs), workMs, isUrgent });
    dispatcher.handleJob(definition, new JobProgress(definition), now);
  };

  const startRun = (effect: Extract<DispatchEffect, { kind: 'start' }>, now: number): void => {
    const { endpoint, command, job } = effect;
    dispatcher.handleStartRecorded(effect, now);
    dispatcher.handleStartResult(endpoint, command.task, command.run, { kind: 'done' }, now);
    const workMs = jobs.get(job)!.workMs[Number(command.task.split('.')[3])]!;
    const endsAt = now + workMs * (slow.has(endpoint) ? SLOWDOWN : 1);
    running.get(endpoint)!.push({ task: command.task, run: command.run, startedAt: now, endsAt });
  };

  let endCount = 0;
  const sendEnds = (now: number): void => {
    for (const [endpoint, runs] of running) {
      const ended: EndedTaskStatus[] = runs
        .filter(({ endsAt }) => endsAt <= now)
        .map(({ task, run }) => ({ number: (endCount += 1), task, run, how: 'done', checkpoint: '' }));
      if (ended.length > 0) {
        const remaining = runs.filter(({ endsAt }) => endsAt > now);
        running.set(endpoint, remaining);
        const rows = remaining.map(({ task, run, startedAt, endsAt }) => ({
          task,
          run,
          checkpoint: '',
          percent: Math.floor((100 * (now - startedAt)) / (endsAt - startedAt)),
          load: 0,
        }));
        dispatcher.handleStatus({ endpoint, running: rows, ended, pollSentAt: now }, now, now);
      }
    }
  };

  for (let now = 0; now < LOAD_MS; now += TICK_MS) {
    sendEnds(now);
    if (now % URGENT_INTERVAL_MS === 0) {
      sendJob(now, true);
    }
    if (now % BATCH_INTERVAL_MS === 0) {
      sendJob(now, false);
    }
    dispatcher.placeWaiting(now, now);
    for (const effect of dispatcher.takeEffects()) {
      if (effect.kind === 'start') {
        startRun(effect, now);
      } else if (effect.kind === 'tell' && effect.message === 'Job ended.') {
        const job = jobs.get(effect.fields['job'] as JobId)!;
        durations.push({ job, ms: now - job.sentAt });
      }
    }
  }
  const counted = durations.filter(({ job }) => job.sentAt >= WARM_UP_MS);
  const urgent = counted.filter(({ job }) => job.isUrgent);
  const batch = counted.filter(({ job }) => !job.isUrgent);
  const inTime = urgent.filter(({ job, ms }) => ms <= IN_TIME_FACTOR * job.criticalPathMs);
  return {
    urgent: inTime.length / urgent.length,
    batchMs: batch.reduce((sum, { ms }) => sum + ms, 0) / batch.length,
  };
};

describe('the speed policy `kinds`', () => {
  it('keeps urgent jobs in time on a cluster of mixed speeds, and hardly delays batch jobs', () => {
    const [blind, kinds] = [runSimulation('blind'), runSimulation('kinds')];
    expect(kinds.urgent).toBeGreaterThan(0.8);
    expect(blind.urgent).toBeLessThan(0.35);
    expect(kinds.batchMs).toBeLessThan(1.05 * blind.batchMs);
  });
});
