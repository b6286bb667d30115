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
const CUT_HALL = 'hall-b';

interface Play {
  readonly dispatcher: Dispatcher;
  readonly halls: ReadonlyMap<EndpointIncarnation, string>;
  /** Halls of the tasks of each job. */
  readonly hallsOf: ReadonlyMap<JobId, readonly string[]>;
}

/** Places jobs of ten tasks, spread over the ids as callers choose them, on endpoints of three halls. */
const createPlay = (hallChoice: HallPolicyName, usableHalls: readonly string[] = HALLS): Play => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0, hallChoice });
  const halls = new Map<EndpointIncarnation, string>();
  for (let number = 0; number < ENDPOINTS; number += 1) {
    const hall = HALLS[number % HALLS.length]!;
    const profile = createProfile(`i-${number}`, { hall, capacity: CAPACITY });
    halls.set(profile.incarnation, hall);
    dispatcher.handleEndpointProfile(profile);
    if (usableHalls.includes(hall)) {
      dispatcher.handleStatus({ endpoint: profile.incarnation, running: [], ended: [], sentAt: 0 }, 1, 1);
    }
  }
  const demand = { cpuMillis: 4500, memoryMb: 6400, accelerators: 0 };
  for (let number = 0; number < JOBS; number += 1) {
    const id = Math.floor(((number + 0.5) / JOBS) * 16 ** 6);
    const definition = createJobDefinition(id, [createStep({ count: TASKS, demand })]);
    dispatcher.handleJob(definition, new JobProgress(definition), 1);
    dispatcher.placeWaiting(2 + number, 2 + number);
  }
  const hallsOf = new Map<JobId, string[]>();
  const starts = dispatcher
    .takeEffects()
    .filter((effect): effect is Extract<DispatchEffect, { kind: 'start' }> => effect.kind === 'start');
  for (const { job, endpoint } of starts) {
    hallsOf.set(job, [...(hallsOf.get(job) ?? []), halls.get(endpoint)!]);
  }
  return { dispatcher, halls, hallsOf };
};

/** Jobs that lose a task when a hall is cut off: each then waits until the leases there have ended. */
const readStruck = ({ hallsOf }: Play): number =>
  [...hallsOf.values()].filter((halls) => halls.includes(CUT_HALL)).length;

/** The load: 30 urgent jobs of ten tasks on 60 endpoints of three halls. One hall strikes 23 of them when spread, 10 together. */
describe('a hall that is cut off', () => {
  it('strikes one job in three when the tasks of a job go together, and most when they are spread', () => {
    const [spread, together] = [createPlay('spread'), createPlay('together')];
    expect(spread.hallsOf.size).toBe(JOBS);
    expect(together.hallsOf.size).toBe(JOBS);
    expect(readStruck(spread)).toBeGreaterThan((2 / 3) * JOBS);
    expect(readStruck(together)).toBe(JOBS / HALLS.length);
  });

  it('is home to no job while it is silent: all tasks find room elsewhere', () => {
    const play = createPlay('together', ['hall-a', 'hall-c']);
    expect([...play.hallsOf.values()].every((halls) => halls.length === TASKS)).toBe(true);
    expect(readStruck(play)).toBe(0);
  });
});
