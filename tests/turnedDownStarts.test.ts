/*
 * A start that an endpoint does not take counts against nothing, and its task waits again. Where no endpoint takes it, because it cannot read
 * the order, has less room than its record says, or calls itself unwell, the task went from one to the next in each round, without a bound:
 * the cause of the incident of tasks that end their endpoints, with no endpoint lost.
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
const PLAYED_MS = 10_000;
/** Within 10 s: at once, then after 0.1, 0.2, 0.4, … s, and every 2 s. */
const MAX_STARTS = 12;
const ENDPOINTS = ['i-0', 'i-1', 'i-2'].map((id) => toId<EndpointIncarnation>(id));

/** Plays a job of one task on endpoints that give an answer until a time; gives the times of its starts. */
const measureStarts = (answer: CommandResult, until: number): readonly number[] => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  ENDPOINTS.forEach((id) => dispatcher.handleEndpointProfile(createProfile(id)));
  const job = createJobDefinition(1, [createStep({ count: 1 })]);
  dispatcher.handleJob(job, new JobProgress(job), 0);
  const starts: number[] = [];
  for (let now = 0; now < PLAYED_MS; now += STEP_MS) {
    for (const id of ENDPOINTS) {
      const running = [...(dispatcher.getEndpointState(id)?.getRuns() ?? [])]
        .filter(({ stage }) => stage === 'running')
        .map(({ task, run }) => ({ task, run, checkpoint: '', percent: 1, load: 0 }));
      dispatcher.handleStatus({ endpoint: id, running, ended: [], sentAt: now }, now, now);
    }
    dispatcher.handleTick(now);
    dispatcher.placeWaiting(now, now);
    const effects: readonly DispatchEffect[] = dispatcher.takeEffects();
    for (const effect of effects) {
      if (effect.kind === 'start' && dispatcher.handleStartRecorded(effect, now)) {
        starts.push(now);
        const given: CommandResult = now < until ? answer : { kind: 'done' };
        dispatcher.handleStartResult(effect.endpoint, effect.command.task, effect.command.run, given, now);
      }
    }
  }
  return starts;
};

const ANSWERS: readonly CommandResult[] = [
  { kind: 'rejected', reason: 'malformed' },
  { kind: 'rejected', reason: 'room' },
  { kind: 'rejected', reason: 'late' },
  { kind: 'unhealthy' },
];

describe('a task whose starts are turned down', () => {
  it.each(ANSWERS)('is tried again, ever more rarely: %o', (answer) => {
    const starts = measureStarts(answer, Infinity);
    expect(starts.length).toBeLessThanOrEqual(MAX_STARTS);
    expect(starts.length).toBeGreaterThan(5);
    // The second try follows at once: most such answers are of the moment.
    expect(starts[1]! - starts[0]!).toBeLessThanOrEqual(STEP_MS);
    const gaps = starts.slice(1).map((at, index) => at - starts[index]!);
    expect(Math.max(...gaps)).toBeLessThan(3000);
  });

  it.each(ANSWERS)('starts soon once it is taken: %o', (answer) => {
    const takenFrom = 3000;
    const starts = measureStarts(answer, takenFrom);
    expect(starts[starts.length - 1]! - takenFrom).toBeLessThan(2100);
  });
});
