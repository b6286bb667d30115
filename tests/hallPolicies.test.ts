import { describe, expect, it } from 'vitest';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { HallPolicyName } from '../packages/dispatch/placing/HallPolicyName';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobId } from '../packages/jobs/JobId';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const HALLS = ['hall-a', 'hall-b', 'hall-c'];
const ENDPOINTS = 60;
const JOBS = 30;
const TASKS = 10;
const CAPACITY = { cpuMillis: 32_000, memoryMb: 64_000, accelerators: 0 };
const LOST_HALL = 'hall-b';

interface Outcome {
  readonly dispatcher: Dispatcher;
  readonly hallByEndpoint: ReadonlyMap<EndpointIncarnation, string>;
  /** Hall of each task, by job. */
  readonly hallsByJob: ReadonlyMap<JobId, readonly string[]>;
}

/** Places jobs of ten tasks, with evenly distributed ids, on endpoints of three halls. */
const placeJobs = (hallChoice: HallPolicyName, usableHalls: readonly string[] = HALLS): Outcome => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0, hallChoice });
  const hallByEndpoint = new Map<EndpointIncarnation, string>();
  for (let number = 0; number < ENDPOINTS; number += 1) {
    const hall = HALLS[number % HALLS.length]!;
    const profile = createProfile(`i-${number}`, { hall, capacity: CAPACITY });
    hallByEndpoint.set(profile.incarnation, hall);
    dispatcher.handleEndpointProfile(profile);
    if (usableHalls.includes(hall)) {
      dispatcher.handleStatus({ endpoint: profile.incarnation, running: [], ended: [], pollSentAt: 0 }, 1, 1);
    }
  }
  const demand = { cpuMillis: 4500, memoryMb: 6400, accelerators: 0 };
  for (let number = 0; number < JOBS; number += 1) {
    const id = Math.floor(((number + 0.5) / JOBS) * 16 ** 6);
    const definition = createJobDefinition(id, [createStep({ count: TASKS, demand })]);
    dispatcher.handleJob(definition, new JobProgress(definition), 1);
    dispatcher.placeWaiting(2 + number, 2 + number);
  }
  const hallsByJob = new Map<JobId, string[]>();
  const starts = dispatcher
    .takeEffects()
    .filter((effect): effect is Extract<DispatchEffect, { kind: 'start' }> => effect.kind === 'start');
  for (const { job, endpoint } of starts) {
    hallsByJob.set(job, [...(hallsByJob.get(job) ?? []), hallByEndpoint.get(endpoint)!]);
  }
  return { dispatcher, hallByEndpoint, hallsByJob };
};

/** Returns how many jobs have a task in the hall that is lost. */
const countAffected = ({ hallsByJob }: Outcome): number =>
  [...hallsByJob.values()].filter((halls) => halls.includes(LOST_HALL)).length;

describe('the loss of a hall', () => {
  it('affects one job in three under `together`, and most jobs under `spread`', () => {
    const [spread, together] = [placeJobs('spread'), placeJobs('together')];
    expect(spread.hallsByJob.size).toBe(JOBS);
    expect(together.hallsByJob.size).toBe(JOBS);
    expect(countAffected(spread)).toBeGreaterThan((2 / 3) * JOBS);
    expect(countAffected(together)).toBe(JOBS / HALLS.length);
  });

  it('affects no job that is placed while the hall is unreachable', () => {
    const outcome = placeJobs('together', ['hall-a', 'hall-c']);
    expect([...outcome.hallsByJob.values()].every((halls) => halls.length === TASKS)).toBe(true);
    expect(countAffected(outcome)).toBe(0);
  });
});
