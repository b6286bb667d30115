import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;
type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;

const ENDPOINT = toId<EndpointIncarnation>('i-0');
const VALIDITY_MS = 2500;
const CAPACITY = 4;
const SLOTS = { all: 1, long: 1, quarantined: 0 };

const createJob = (number: number, priority: number, count: number): JobDefinition =>
  createJobDefinition(
    number,
    [createStep({ count, demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } })],
    {
      name: `queue-${priority}`,
      priority,
      advice: { decisionMs: 5, perEndpointMs: 1, validityMs: VALIDITY_MS },
    },
  );

describe('starts whose record is not durable yet', () => {
  let dispatcher: Dispatcher;

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    const capacity = { cpuMillis: CAPACITY * 1000, memoryMb: 10_000, accelerators: 0 };
    dispatcher.handleEndpointProfile(createProfile(ENDPOINT, { capacity }));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], pollSentAt: 0 }, 0, 0);
  });

  const addJob = (definition: JobDefinition, now: number): void =>
    dispatcher.handleJob(definition, new JobProgress(definition), now);

  const sendResponse = ({ step, candidates }: AdviceRequest, now: number): void => {
    const tickets = new Map(candidates.map((id) => [id, `ticket ${step} ${now}`]));
    dispatcher.handleAdviceResponse(step, candidates, tickets, now);
  };

  const takeRequests = (): readonly AdviceRequest[] =>
    dispatcher.takeEffects().filter((effect): effect is AdviceRequest => effect.kind === 'advise');

  const takeStarts = (): readonly StartEffect[] =>
    dispatcher.takeEffects().filter((effect): effect is StartEffect => effect.kind === 'start');

  /** Places a job that takes the whole capacity, and returns its starts. */
  const createPlacedStarts = (): readonly StartEffect[] => {
    addJob(createJob(1, 0, CAPACITY), 0);
    dispatcher.placeWaiting(0, 0);
    sendResponse(takeRequests()[0]!, 10);
    dispatcher.placeWaiting(20, 20);
    return takeStarts();
  };

  const getFreeCpuMillis = (): number => dispatcher.getEndpointState(ENDPOINT)!.getFreeCpuMillis();

  it('are sent when it becomes durable in time, and not once their tickets have expired', () => {
    const [first, second] = createPlacedStarts();
    expect(dispatcher.handleStartRecorded(first!, 100)).toBe(true);
    expect(dispatcher.handleStartRecorded(second!, VALIDITY_MS)).toBe(false);
    expect(getFreeCpuMillis()).toBe(1000);
  });

  it('release their capacity when they are cancelled, and are not sent later', () => {
    const starts = createPlacedStarts();
    expect(getFreeCpuMillis()).toBe(0);
    dispatcher.cancelUnrecordedStarts(1000);
    expect(getFreeCpuMillis()).toBe(CAPACITY * 1000);
    expect(starts.map((start) => dispatcher.handleStartRecorded(start, 1100))).toEqual(
      starts.map(() => false),
    );
    dispatcher.placeWaiting(1200, 1200);
    expect(takeStarts().map(({ command }) => command.run)).toEqual(starts.map(() => 2));
  });

  it('are prepared by requesting tickets for the first steps to be placed, and renewing them before they expire', () => {
    addJob(createJob(1, 1, CAPACITY), 0);
    addJob(createJob(2, 0, CAPACITY), 0);
    const requests: { readonly step: string; readonly at: number }[] = [];
    for (let now = 0; now <= 6000; now += 100) {
      dispatcher.handleTick(now);
      dispatcher.requestAdviceAhead(now, now, SLOTS);
      for (const request of takeRequests()) {
        requests.push({ step: request.step, at: now });
        sendResponse(request, now);
      }
    }
    // The capacity fits only the more urgent job, and none of it is taken.
    expect(new Set(requests.map(({ step }) => step))).toEqual(new Set(['0000000000000002.0.0']));
    expect(requests.length).toBeGreaterThan(2);
    expect(requests.length).toBeLessThan(5);
    expect(getFreeCpuMillis()).toBe(CAPACITY * 1000);
    dispatcher.placeWaiting(6010, 6010);
    expect(takeStarts().map(({ job }) => job)).toEqual(
      Array.from({ length: CAPACITY }, () => createJob(2, 0, 1).id),
    );
  });
});
