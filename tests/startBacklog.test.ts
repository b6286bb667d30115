import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

const ENDPOINTS = 245;
const BACKLOG_JOBS = 840;
const TASKS = 3;
const WORK_MS = 800;
/** Starts that the leader can send and confirm in a second. */
const STARTS_PER_SECOND = 500;
const STEP_MS = 10;
/** Target latency of the sheet's most urgent queue: the slack that its objective leaves besides the run. */
const TARGET_LATENCY_MS = 300;
/** The backlog was accepted this long ago, so that its objectives have passed. */
const BACKLOG_AGE_MS = 13_000;
const QUEUE = { name: 'urgent', priority: 0, targetLatencyMs: TARGET_LATENCY_MS, stretch: 1.5 };
/** Room for the whole backlog on all endpoints, so that only the sending of starts is scarce. */
const CAPACITY = { cpuMillis: 16_000, memoryMb: 16_000, accelerators: 0 };
const DEMAND = { cpuMillis: 1000, memoryMb: 100, accelerators: 0 };

const createDispatcher = (): Dispatcher => {
  const dispatcher = new Dispatcher({
    getDefinition: () => undefined,
    earlierLeasesEndAt: 0,
  });
  for (let index = 0; index < ENDPOINTS; index += 1) {
    const endpoint = toId<EndpointIncarnation>(`i-${index}`);
    dispatcher.handleEndpointProfile(createProfile(endpoint, { capacity: CAPACITY }));
    dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: 0 }, 0, 0);
  }
  return dispatcher;
};

/** Drives a dispatcher whose starts are sent one after the other, at a limited rate. Returns when a job's last start was confirmed. */
const runUntilStarted = (sentAt: number): number => {
  const dispatcher = createDispatcher();
  const addJob = (number: number, acceptedAtMs: number): JobProgress => {
    const step = createStep({ count: TASKS, estimatedMs: WORK_MS, demand: DEMAND });
    const definition = { ...createJobDefinition(number, [step], QUEUE), acceptedAtMs };
    const progress = new JobProgress(definition);
    dispatcher.handleJob(definition, progress, 0);
    return progress;
  };
  const wallMs = BACKLOG_AGE_MS + WORK_MS;
  Array.from({ length: BACKLOG_JOBS }, (_none, number) => addJob(number, wallMs - BACKLOG_AGE_MS));
  const queued: StartEffect[] = [];
  const newest = { progress: undefined as JobProgress | undefined };
  for (let now = 0; now < BACKLOG_AGE_MS; now += STEP_MS) {
    if (now === sentAt) {
      newest.progress = addJob(BACKLOG_JOBS, wallMs + now);
    }
    for (const effect of queued.splice(0, (STARTS_PER_SECOND * STEP_MS) / 1000)) {
      const { endpoint, command } = effect;
      dispatcher.handleStartRecorded(effect, now);
      dispatcher.handleStartResult(endpoint, command.task, command.run, { kind: 'done' }, now);
    }
    if (now % 100 === 0) {
      dispatcher.handleTick(now);
    }
    dispatcher.placeWaiting(now, wallMs + now);
    queued.push(...dispatcher.takeEffects().filter((effect) => effect.kind === 'start'));
    const isPlaced = newest.progress?.listTasks(0, 0).every(({ phase }) => phase === 'placed') ?? false;
    if (isPlaced && !queued.some(({ job }) => job === createJobDefinition(BACKLOG_JOBS, []).id)) {
      return now - sentAt;
    }
  }
  return Infinity;
};

describe('a new urgent job', () => {
  it.each([100, 500, 1000])(
    'does not wait behind the starts of a backlog that is past its objective (sent after %i ms)',
    (sentAt) => {
      expect(runUntilStarted(sentAt)).toBeLessThan(TARGET_LATENCY_MS);
    },
  );
});
