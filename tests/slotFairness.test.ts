import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type AdviceRequest = Extract<DispatchEffect, { kind: 'advise' }>;

const ENDPOINTS = 600;
const JOBS = 10;
const RESPONSE_MS = 600;
const CAPACITY = { cpuMillis: 1000, memoryMb: 10_000, accelerators: 0 };
const ONE_SLOT = { all: 1, long: 1, quarantined: 0 };

/** Returns how many jobs of one queue have sent a request after `requestCount` requests, which are all refused, over one slot. */
const countRequestingJobs = (requestCount: number): number => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  for (let index = 0; index < ENDPOINTS; index += 1) {
    const endpoint = toId<EndpointIncarnation>(`i-${index}`);
    dispatcher.handleEndpointProfile(createProfile(endpoint, { capacity: CAPACITY }));
    dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: 0 }, 0, 0);
  }
  const step = createStep({ count: 2, demand: { ...CAPACITY, memoryMb: 100 } });
  const advice = { decisionMs: 420, perEndpointMs: 6, validityMs: 2500 };
  for (let number = 1; number <= JOBS; number += 1) {
    const definition = createJobDefinition(number, [step], { name: 'batch', advice });
    dispatcher.handleJob(definition, new JobProgress(definition), 0);
  }
  const requestingSteps = new Set<string>();
  for (let now = 0; now < requestCount * RESPONSE_MS; now += RESPONSE_MS) {
    dispatcher.placeWaiting(now, now, ONE_SLOT);
    for (const request of dispatcher.takeEffects()) {
      if (request.kind === 'advise') {
        const { step: name, candidates }: AdviceRequest = request;
        requestingSteps.add(name);
        dispatcher.handleAdviceResponse(name, candidates, new Map(), now + RESPONSE_MS);
      }
    }
  }
  return requestingSteps.size;
};

describe('steps of one queue with free capacity', () => {
  it('all get a slot while those ahead of them in the placement order keep asking about further endpoints', () => {
    expect(countRequestingJobs(3 * JOBS)).toBe(JOBS);
  });
});
