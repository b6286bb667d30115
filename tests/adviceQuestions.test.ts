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

type Question = Extract<DispatchEffect, { kind: 'advise' }>;

const ENDPOINTS = 24;

const createJob = (number: number): JobDefinition =>
  createJobDefinition(
    number,
    [createStep({ count: 2, demand: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 } })],
    { advice: { decisionMs: 30, perEndpointMs: 1, validityMs: 2500 } },
  );

describe('questions to the advice service', () => {
  let dispatcher: Dispatcher;

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    for (let index = 0; index < ENDPOINTS; index += 1) {
      const id = toId<EndpointIncarnation>(`i-${index}`);
      const capacity = { cpuMillis: 1000, memoryMb: 10_000, accelerators: 0 };
      dispatcher.handleEndpointProfile(createProfile(id, { capacity }));
      dispatcher.handleStatus({ endpoint: id, running: [], ended: [], sentAt: 0 }, 0, 0);
    }
  });

  const sendJob = (number: number): void => {
    const definition = createJob(number);
    dispatcher.handleJob(definition, new JobProgress(definition), 0);
  };

  const readQuestions = (now: number): readonly Question[] => {
    dispatcher.placeWaiting(now, now);
    return dispatcher.takeEffects().filter((effect): effect is Question => effect.kind === 'advise');
  };

  it('name as many endpoints as the tasks are likely to need, and for another step others', () => {
    sendJob(1);
    sendJob(2);
    const [first, second] = readQuestions(0);
    // Two tasks, half of the endpoints refused, twice the room: eight.
    expect(first!.endpoints).toHaveLength(8);
    expect(second!.endpoints).toHaveLength(8);
    expect(new Set([...first!.endpoints, ...second!.endpoints]).size).toBe(16);
  });

  it('follow the share of endpoints that the queue may use', () => {
    for (let number = 1; number < 40; number += 1) {
      sendJob(number);
      for (const { step, endpoints } of readQuestions(number)) {
        dispatcher.handleAdviceResponse(
          step,
          endpoints,
          new Map(endpoints.map((id) => [id, 'ticket'])),
          number,
        );
      }
      dispatcher.handleCancel(createJob(number).id, number);
      dispatcher.handleTick(number);
    }
    sendJob(40);
    const [last] = readQuestions(40);
    // Nearly none is refused any more: four, and never fewer than five.
    expect(last!.endpoints).toHaveLength(5);
  });

  it('go on at once after an answer that was not enough, with endpoints that were not named before', () => {
    sendJob(1);
    const [first] = readQuestions(0);
    dispatcher.handleAdviceResponse(first!.step, first!.endpoints, new Map(), 40);
    const [second] = readQuestions(41);
    expect(second!.endpoints.length).toBeGreaterThan(0);
    expect(second!.endpoints.filter((id) => first!.endpoints.includes(id))).toEqual([]);
  });

  it('wait a little after a question that had no answer', () => {
    sendJob(1);
    const [first] = readQuestions(0);
    dispatcher.handleAdviceResponse(first!.step, first!.endpoints, undefined, 40);
    expect(readQuestions(41)).toEqual([]);
    dispatcher.handleTick(161);
    expect(readQuestions(161)).toHaveLength(1);
  });
});
