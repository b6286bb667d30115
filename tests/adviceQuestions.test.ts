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

type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;

const ENDPOINTS = 24;

const createJob = (number: number): JobDefinition =>
  createJobDefinition(
    number,
    [createStep({ count: 2, demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } })],
    { advice: { decisionMs: 30, perEndpointMs: 1, validityMs: 2500 } },
  );

describe('advice requests', () => {
  let dispatcher: Dispatcher;

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    for (let index = 0; index < ENDPOINTS; index += 1) {
      sendEndpoint(index);
    }
  });

  const sendEndpoint = (index: number): void => {
    const id = toId<EndpointIncarnation>(`i-${index}`);
    const capacity = { cpuMillis: 1000, memoryMb: 10_000, accelerators: 0 };
    dispatcher.handleEndpointProfile(createProfile(id, { capacity }));
    dispatcher.handleStatus({ endpoint: id, running: [], ended: [], pollSentAt: 0 }, 0, 0);
  };

  const sendJob = (number: number): void => {
    const definition = createJob(number);
    dispatcher.handleJob(definition, new JobProgress(definition), 0);
  };

  const takeRequests = (now: number): readonly AdviceRequest[] => {
    dispatcher.placeWaiting(now, now);
    return dispatcher.takeEffects().filter((effect): effect is AdviceRequest => effect.kind === 'advise');
  };

  it('have as many candidates as the tasks are likely to need, and different ones for another step', () => {
    sendJob(1);
    sendJob(2);
    const [first, second] = takeRequests(0);
    // Two tasks, with half of the endpoints refused and twice the capacity, need eight.
    expect(first!.candidates).toHaveLength(8);
    expect(second!.candidates).toHaveLength(8);
    expect(new Set([...first!.candidates, ...second!.candidates]).size).toBe(16);
  });

  it('follow the share of endpoints that are allowed for the queue', () => {
    for (let number = 1; number < 40; number += 1) {
      sendJob(number);
      for (const { step, candidates } of takeRequests(number)) {
        dispatcher.handleAdviceResponse(
          step,
          candidates,
          new Map(candidates.map((id) => [id, 'ticket'])),
          number,
        );
      }
      dispatcher.handleCancel(createJob(number).id, number);
      dispatcher.handleTick(number);
    }
    sendJob(40);
    const [last] = takeRequests(40);
    // With hardly any refusals four would do; the minimum is five.
    expect(last!.candidates).toHaveLength(5);
  });

  it('are sent at once after a response that does not suffice, with new candidates', () => {
    sendJob(1);
    const [first] = takeRequests(0);
    dispatcher.handleAdviceResponse(first!.step, first!.candidates, new Map(), 40);
    const [second] = takeRequests(41);
    expect(second!.candidates.length).toBeGreaterThan(0);
    expect(second!.candidates.filter((id) => first!.candidates.includes(id))).toEqual([]);
  });

  it('name the endpoint with free capacity among many full ones, so that a large task does not wait beside it', () => {
    const filling = createJobDefinition(90, [
      createStep({ count: ENDPOINTS, demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } }),
    ]);
    dispatcher.handleJob(filling, new JobProgress(filling), 0);
    dispatcher.placeWaiting(0, 0);
    for (let index = ENDPOINTS; index < 2 * ENDPOINTS; index += 1) {
      sendEndpoint(index);
    }
    const second = {
      ...filling,
      id: createJob(91).id,
      steps: [createStep({ ...filling.steps[0], count: 23 })],
    };
    dispatcher.handleJob(second, new JobProgress(second), 0);
    dispatcher.placeWaiting(0, 0);
    const [free] = Array.from({ length: 2 * ENDPOINTS }, (_none, index) => `i-${index}`).filter(
      (id) => dispatcher.getEndpointState(toId<EndpointIncarnation>(id))!.getFreeCpuMillis() > 0,
    );
    sendJob(1);
    const [request] = takeRequests(0);
    expect(request!.candidates[0]).toBe(free);
  });

  it('name enough endpoints that hardly any is refused by all, also when one endpoint has capacity for all tasks', () => {
    const shape = createStep({ count: 1, demand: { cpuMillis: 10, memoryMb: 10, accelerators: 0 } });
    const advice = { decisionMs: 640, perEndpointMs: 6.5, validityMs: 2500 };
    const takeRequestOf = (number: number): AdviceRequest => {
      const definition = createJobDefinition(number, [shape], { advice });
      dispatcher.handleJob(definition, new JobProgress(definition), number);
      return takeRequests(number)[0]!;
    };
    for (let number = 1; number < 60; number += 1) {
      const { step, candidates } = takeRequestOf(number);
      const allowed = candidates.filter((_id, index) => (number + index) % 5 === 0);
      const tickets = new Map(allowed.map((id) => [id, 'ticket']));
      dispatcher.handleAdviceResponse(step, candidates, tickets, number);
      dispatcher.handleCancel(createJob(number).id, number);
      dispatcher.handleTick(number);
    }
    // With a fifth allowed, five candidates are all refused one time in three, and thirteen one time in eighteen.
    expect(takeRequestOf(60).candidates.length).toBeGreaterThan(12);
  });

  it('are delayed after one without a response', () => {
    sendJob(1);
    const [first] = takeRequests(0);
    dispatcher.handleAdviceResponse(first!.step, first!.candidates, undefined, 40);
    expect(takeRequests(41)).toEqual([]);
    dispatcher.handleTick(161);
    expect(takeRequests(161)).toHaveLength(1);
  });
});
