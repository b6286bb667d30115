import { afterEach, describe, expect, it, vi } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { BoxClients } from '../packages/boxes/BoxClients';
import { BoxDirectory } from '../packages/boxes/BoxDirectory';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import { EndpointState } from '../packages/dispatch/endpoints/EndpointState';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobQueue } from '../packages/jobs/JobQueue';
import type { JobStep } from '../packages/jobs/JobStep';
import { toId } from '../packages/common/toId';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const ENDPOINTS = 100;
const STEPS = 200;
/** A few passes over the fleet, and a few checks for each step. */
const MAX_CHECKS = 10 * ENDPOINTS + 10 * STEPS;
const NO_SLOTS = { all: 0, long: 0, quarantined: 0 };
const CAPACITY = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 0 };
const INCARNATIONS = Array.from({ length: ENDPOINTS }, (_none, number) =>
  toId<EndpointIncarnation>(`i-${number}`),
);

const createAdvisedQueue = (name: string, priority: number): Partial<JobQueue> => ({
  name,
  priority,
  advice: { decisionMs: 420, perEndpointMs: 6, validityMs: 60_000 },
});

/** Creates a dispatcher with a fleet and one job that sets the most urgent priority, which has ended. */
const createDispatcher = (): Dispatcher => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  for (const endpoint of INCARNATIONS) {
    dispatcher.handleEndpointProfile(createProfile(endpoint, { capacity: CAPACITY }));
    dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: -1 }, 0, 0);
  }
  const urgent = createJobDefinition(1, [createStep()], createAdvisedQueue('urgent', 0));
  dispatcher.handleJob(urgent, new JobProgress(urgent), 0);
  dispatcher.handleCancel(urgent.id, 0);
  return dispatcher;
};

const addJobs = (dispatcher: Dispatcher, step: Partial<JobStep>): readonly string[] =>
  Array.from({ length: STEPS }, (_none, number) => {
    const definition = createJobDefinition(
      number + 2,
      [createStep({ count: 13, ...step })],
      createAdvisedQueue('batch', 1),
    );
    dispatcher.handleJob(definition, new JobProgress(definition), 0);
    return `${definition.id}.0.0`;
  });

/** Takes all processors of the fleet by a job whose queue needs no advice. */
const addFillingJob = (dispatcher: Dispatcher): void => {
  const shape = createStep({ count: ENDPOINTS, demand: { ...CAPACITY, memoryMb: 100 } });
  const filling = createJobDefinition(STEPS + 2, [shape], { name: 'filling', priority: 0 });
  dispatcher.handleJob(filling, new JobProgress(filling), 0);
  dispatcher.placeWaiting(0, 0, NO_SLOTS);
};

/** Returns how often a round looks at the state of an endpoint. */
const countChecks = (dispatcher: Dispatcher, now: number): number => {
  const methods = ['getProfile', 'hasCapacityFor', 'getFreeCapacity', 'getFreeCpuMillis', 'getRuns'] as const;
  const spies = methods.map((method) => vi.spyOn(EndpointState.prototype, method));
  dispatcher.handleTick(now);
  spies.forEach((spy) => spy.mockClear());
  dispatcher.placeWaiting(now, now, NO_SLOTS);
  return spies.reduce((sum, spy) => sum + spy.mock.calls.length, 0);
};

describe('a round with many waiting steps', () => {
  afterEach(() => vi.restoreAllMocks());

  it.each([
    { size: 'large', cpuMillis: 4500 },
    { size: 'small', cpuMillis: 1000 },
  ])('does not check the whole fleet for each $size step without tickets or a slot', ({ cpuMillis }) => {
    const dispatcher = createDispatcher();
    addJobs(dispatcher, { demand: { cpuMillis, memoryMb: 100, accelerators: 0 } });
    expect(countChecks(dispatcher, 100)).toBeLessThan(MAX_CHECKS);
  });

  it.each([
    { size: 'large', cpuMillis: 4500 },
    { size: 'small', cpuMillis: 1000 },
  ])(
    'does not check the whole fleet for each $size step with tickets but no free capacity',
    ({ cpuMillis }) => {
      const dispatcher = createDispatcher();
      const steps = addJobs(dispatcher, { demand: { cpuMillis, memoryMb: 100, accelerators: 0 } });
      addFillingJob(dispatcher);
      for (const step of steps) {
        const allowed = new Map(INCARNATIONS.map((incarnation) => [incarnation, 'ticket']));
        dispatcher.handleAdviceResponse(step, INCARNATIONS, allowed, 1);
      }
      expect(countChecks(dispatcher, 100)).toBeLessThan(MAX_CHECKS);
    },
  );
});

describe('the list of boxes that can send advice requests', () => {
  it('is created again only after an announcement', () => {
    const directory = new BoxDirectory();
    const resources = { cores: 1, linkMbps: 100 };
    const clients = new BoxClients(
      directory,
      { box: 'box-0', ...resources },
      {
        clock: systemClock,
        logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      },
    );
    directory.setBox('box-0', 'box-0:80', resources);
    directory.setBox('box-1', 'box-1:80', resources);
    const others = clients.listOthers();
    expect(others.map(({ box }) => box)).toEqual(['box-1']);
    expect(clients.listOthers()).toBe(others);
    const value = BoxDirectory.formatAnnouncement('box-2:80', resources);
    directory.foldRecords([{ offset: 1, key: BoxDirectory.toAnnouncementKey('box-2'), value }], 5);
    expect(clients.listOthers().map(({ box }) => box)).toEqual(['box-1', 'box-2']);
    directory.foldRecords([{ offset: 2, key: BoxDirectory.toAnnouncementKey('box-1'), value: '' }], 6);
    expect(clients.listOthers().map(({ box }) => box)).toEqual(['box-2']);
  });
});

describe('a dispatcher without news', () => {
  it('has no due round', () => {
    const dispatcher = createDispatcher();
    dispatcher.placeWaiting(0, 0, NO_SLOTS);
    expect(dispatcher.hasDueRound()).toBe(false);
    dispatcher.handleTick(100);
    expect(dispatcher.hasDueRound()).toBe(true);
  });
});
