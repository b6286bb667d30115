/*
 * Rejected starts are retried with backoff. Guards against a task that every endpoint rejects being started again in each scheduling
 * round without a limit.
 */
import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { CommandResult } from '../packages/dispatch/endpoints/CommandResult';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const STEP_MS = 20;
const DURATION_MS = 10_000;
/** Starts within `DURATION_MS`: at once, then after 0.1, 0.2, 0.4, … s, and every 2 s. */
const MAX_STARTS = 12;
const ENDPOINTS = ['i-0', 'i-1', 'i-2'].map((id) => toId<EndpointIncarnation>(id));

/** Simulates a job of one task whose starts have a result until `acceptedFrom`, and returns the times of its starts. */
const runStarts = (result: CommandResult, acceptedFrom: number): readonly number[] => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  ENDPOINTS.forEach((id) => dispatcher.handleEndpointProfile(createProfile(id)));
  const job = createJobDefinition(1, [createStep({ count: 1 })]);
  dispatcher.handleJob(job, new JobProgress(job), 0);
  const starts: number[] = [];
  for (let now = 0; now < DURATION_MS; now += STEP_MS) {
    for (const id of ENDPOINTS) {
      const running = [...(dispatcher.getEndpointState(id)?.getRuns() ?? [])]
        .filter(({ stage }) => stage === 'running')
        .map(({ task, run }) => ({ task, run, checkpoint: '', percent: 1, load: 0 }));
      dispatcher.handleStatus({ endpoint: id, running, ended: [], pollSentAt: now }, now, now);
    }
    dispatcher.handleTick(now);
    dispatcher.placeWaiting(now, now);
    const effects: readonly DispatchEffect[] = dispatcher.takeEffects();
    for (const effect of effects) {
      if (effect.kind === 'start' && dispatcher.handleStartRecorded(effect, now)) {
        starts.push(now);
        const applied: CommandResult = now < acceptedFrom ? result : { kind: 'done' };
        dispatcher.handleStartResult(effect.endpoint, effect.command.task, effect.command.run, applied, now);
      }
    }
  }
  return starts;
};

const REJECTIONS: readonly CommandResult[] = [
  { kind: 'rejected', reason: 'malformed' },
  { kind: 'rejected', reason: 'room' },
  { kind: 'rejected', reason: 'late' },
  { kind: 'unhealthy' },
];

describe('a task whose starts are rejected', () => {
  it.each(REJECTIONS)('is retried with growing delays: %o', (result) => {
    const starts = runStarts(result, Infinity);
    expect(starts.length).toBeLessThanOrEqual(MAX_STARTS);
    expect(starts.length).toBeGreaterThan(5);
    // The first retry follows at once, since most rejections are transient.
    expect(starts[1]! - starts[0]!).toBeLessThanOrEqual(STEP_MS);
    const gaps = starts.slice(1).map((at, index) => at - starts[index]!);
    expect(Math.max(...gaps)).toBeLessThan(3000);
  });

  it.each(REJECTIONS)('starts soon once a start is accepted: %o', (result) => {
    const acceptedFrom = 3000;
    const starts = runStarts(result, acceptedFrom);
    expect(starts[starts.length - 1]! - acceptedFrom).toBeLessThan(2100);
  });
});
