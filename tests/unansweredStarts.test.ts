/*
 * A leader whose link is full hears all answers late: orders that were carried out look lost. The load is one order after another with
 * no answer in time, on endpoints that work.
 */
import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { isPastStartup } from '../packages/dispatch/crashes/isPastStartup';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import { ResponseTimeout } from '../packages/dispatch/endpoints/ResponseTimeout';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { JobProgress } from '../packages/jobs/JobProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const ENDPOINT = toId<EndpointIncarnation>('i-0');
const UNANSWERED = { kind: 'unanswered', detail: '' } as const;
const UNANSWERED_AT = 200;
const LEASED_UNTIL = 4000;

type Kind = DispatchEffect['kind'];

/** One endpoint, and a job of one task whose order had no answer at `UNANSWERED_AT`. */
const createWorld = () => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  dispatcher.handleEndpointProfile(createProfile(ENDPOINT));
  const sendLook = (sentAt: number, isRunning: boolean): void => {
    const running = isRunning
      ? [{ task: start.command.task, run: 1, checkpoint: '', percent: 1, load: 0 }]
      : [];
    dispatcher.handleStatus({ endpoint: ENDPOINT, running, ended: [], sentAt }, sentAt + 5, sentAt + 5);
  };
  const readKinds = (): readonly Kind[] => dispatcher.takeEffects().map(({ kind }) => kind);
  dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], sentAt: 0 }, 0, 0);
  const job = createJobDefinition(1, [createStep({ count: 1 })]);
  dispatcher.handleJob(job, new JobProgress(job), 0);
  dispatcher.placeWaiting(0, 0);
  const start = dispatcher
    .takeEffects()
    .find((effect): effect is Extract<DispatchEffect, { kind: 'start' }> => effect.kind === 'start')!;
  dispatcher.handleStartRecorded(start, 0);
  dispatcher.getEndpointState(ENDPOINT)?.recordLease(LEASED_UNTIL);
  dispatcher.handleStartResult(ENDPOINT, start.command.task, 1, UNANSWERED, UNANSWERED_AT);
  const readStage = () => dispatcher.getEndpointState(ENDPOINT)?.getRun(start.command.task, 1)?.stage;
  return { dispatcher, start, sendLook, readKinds, readStage };
};

describe('a start whose answer does not come', () => {
  it('is asked about at once, and goes on where a look lists it', () => {
    const { sendLook, readKinds, readStage, dispatcher } = createWorld();
    const asked = readKinds();
    expect(asked).toContain('look');
    expect(asked).not.toContain('stop');
    sendLook(UNANSWERED_AT + 1, true);
    dispatcher.handleTick(UNANSWERED_AT + 5000);
    expect(readStage()).toBe('running');
    expect(readKinds()).not.toContain('stop');
  });

  it('is stopped where a look that was sent later does not list it, since it may still come', () => {
    const { sendLook, readKinds, readStage } = createWorld();
    readKinds();
    sendLook(UNANSWERED_AT - 1, false);
    expect(readKinds()).not.toContain('stop');
    sendLook(UNANSWERED_AT + 1, false);
    expect(readKinds()).toContain('stop');
    expect(readStage()).toBe('stopping');
  });

  it('is stopped when no look is answered either, and keeps its room until it is proved absent', () => {
    const { dispatcher, readKinds, readStage } = createWorld();
    readKinds();
    dispatcher.handleTick(UNANSWERED_AT + 100);
    expect(readKinds()).not.toContain('stop');
    dispatcher.handleTick(UNANSWERED_AT + 400);
    expect(readKinds()).toContain('stop');
    expect(readStage()).toBe('stopping');
    dispatcher.handleTick(LEASED_UNTIL - 1);
    expect(readStage()).toBe('stopping');
  });
});

describe('a run that a look shows after its start had no answer', () => {
  it('has worked for certain only since then, so that an end of its endpoint right after is put down to its task', () => {
    const { dispatcher, start, sendLook } = createWorld();
    sendLook(UNANSWERED_AT + 200, true);
    const run = dispatcher.getEndpointState(ENDPOINT)!.getRun(start.command.task, 1)!;
    expect(isPastStartup(run)).toBe(false);
    dispatcher.handleIncarnationEnd(ENDPOINT, UNANSWERED_AT + 250);
    const [crash] = dispatcher.getJob(start.job)!.progress.getTask(run.address)!.crashes;
    expect(crash?.blame).toBe('sole');
  });
});

describe('the time limit of orders', () => {
  it('grows while answers do not come within it, and falls with those that do', () => {
    const timeout = new ResponseTimeout();
    Array.from({ length: 50 }).forEach(() => timeout.recordAnswer(5));
    const usualMs = timeout.computeTimeoutMs();
    Array.from({ length: 8 }).forEach(() => timeout.recordTimeout(timeout.computeTimeoutMs()));
    expect(timeout.computeTimeoutMs()).toBeGreaterThan(3 * usualMs);
    Array.from({ length: 50 }).forEach(() => timeout.recordAnswer(5));
    expect(timeout.computeTimeoutMs()).toBe(usualMs);
  });

  it('does not fall with connections that are reset at once', () => {
    const timeout = new ResponseTimeout();
    Array.from({ length: 50 }).forEach((_, index) => timeout.recordAnswer(index % 2 === 0 ? 100 : 140));
    const usualMs = timeout.computeTimeoutMs();
    Array.from({ length: 50 }).forEach(() => timeout.recordTimeout(1));
    expect(timeout.computeTimeoutMs()).toBe(usualMs);
  });
});
