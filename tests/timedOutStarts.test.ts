/* Guards against treating starts as failed when their responses are only late, as on a congested link. */
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
const TIMED_OUT = { kind: 'unanswered', detail: '' } as const;
const TIMED_OUT_AT = 200;
const LEASED_UNTIL = 4000;

type Kind = DispatchEffect['kind'];

/** Creates a dispatcher with one endpoint and a job of one task, whose start command timed out at `TIMED_OUT_AT`. */
const createTimedOutStart = () => {
  const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  dispatcher.handleEndpointProfile(createProfile(ENDPOINT));
  const handleStatus = (sentAt: number, isRunning: boolean): void => {
    const running = isRunning
      ? [{ task: start.command.task, run: 1, checkpoint: '', percent: 1, load: 0 }]
      : [];
    dispatcher.handleStatus(
      { endpoint: ENDPOINT, running, ended: [], pollSentAt: sentAt },
      sentAt + 5,
      sentAt + 5,
    );
  };
  const takeEffectKinds = (): readonly Kind[] => dispatcher.takeEffects().map(({ kind }) => kind);
  dispatcher.handleStatus({ endpoint: ENDPOINT, running: [], ended: [], pollSentAt: 0 }, 0, 0);
  const job = createJobDefinition(1, [createStep({ count: 1 })]);
  dispatcher.handleJob(job, new JobProgress(job), 0);
  dispatcher.placeWaiting(0, 0);
  const start = dispatcher
    .takeEffects()
    .find((effect): effect is Extract<DispatchEffect, { kind: 'start' }> => effect.kind === 'start')!;
  dispatcher.handleStartRecorded(start, 0);
  dispatcher.getEndpointState(ENDPOINT)?.recordLease(LEASED_UNTIL);
  dispatcher.handleStartResult(ENDPOINT, start.command.task, 1, TIMED_OUT, TIMED_OUT_AT);
  const getStage = () => dispatcher.getEndpointState(ENDPOINT)?.getRun(start.command.task, 1)?.stage;
  return { dispatcher, start, handleStatus, takeEffectKinds, getStage };
};

describe('a start command that timed out', () => {
  it('causes a poll at once, and its run goes on if the poll lists it', () => {
    const { handleStatus, takeEffectKinds, getStage, dispatcher } = createTimedOutStart();
    const kinds = takeEffectKinds();
    expect(kinds).toContain('look');
    expect(kinds).not.toContain('stop');
    handleStatus(TIMED_OUT_AT + 1, true);
    dispatcher.handleTick(TIMED_OUT_AT + 5000);
    expect(getStage()).toBe('running');
    expect(takeEffectKinds()).not.toContain('stop');
  });

  it('is stopped if a later poll does not list its run, since the command may still arrive', () => {
    const { handleStatus, takeEffectKinds, getStage } = createTimedOutStart();
    takeEffectKinds();
    handleStatus(TIMED_OUT_AT - 1, false);
    expect(takeEffectKinds()).not.toContain('stop');
    handleStatus(TIMED_OUT_AT + 1, false);
    expect(takeEffectKinds()).toContain('stop');
    expect(getStage()).toBe('stopping');
  });

  it('is stopped if no poll succeeds either, and keeps its capacity until its run is proved absent', () => {
    const { dispatcher, takeEffectKinds, getStage } = createTimedOutStart();
    takeEffectKinds();
    dispatcher.handleTick(TIMED_OUT_AT + 100);
    expect(takeEffectKinds()).not.toContain('stop');
    dispatcher.handleTick(TIMED_OUT_AT + 400);
    expect(takeEffectKinds()).toContain('stop');
    expect(getStage()).toBe('stopping');
    dispatcher.handleTick(LEASED_UNTIL - 1);
    expect(getStage()).toBe('stopping');
  });
});

describe('a run that a poll lists after its start command timed out', () => {
  it('counts as started only since then, so that a crash of the endpoint right after is blamed on its task', () => {
    const { dispatcher, start, handleStatus } = createTimedOutStart();
    handleStatus(TIMED_OUT_AT + 200, true);
    const run = dispatcher.getEndpointState(ENDPOINT)!.getRun(start.command.task, 1)!;
    expect(isPastStartup(run)).toBe(false);
    dispatcher.handleIncarnationEnd(ENDPOINT, TIMED_OUT_AT + 250);
    const [crash] = dispatcher.getJob(start.job)!.progress.getTask(run.address)!.crashes;
    expect(crash?.blame).toBe('sole');
  });
});

describe('the timeout of commands', () => {
  it('grows with each timeout, and falls with responses in time', () => {
    const timeout = new ResponseTimeout();
    Array.from({ length: 50 }).forEach(() => timeout.recordResponseTime(5));
    const baselineMs = timeout.computeTimeoutMs();
    Array.from({ length: 8 }).forEach(() => timeout.recordUnansweredTime(timeout.computeTimeoutMs()));
    expect(timeout.computeTimeoutMs()).toBeGreaterThan(3 * baselineMs);
    Array.from({ length: 50 }).forEach(() => timeout.recordResponseTime(5));
    expect(timeout.computeTimeoutMs()).toBe(baselineMs);
  });

  it('does not fall when connections are reset at once', () => {
    const timeout = new ResponseTimeout();
    Array.from({ length: 50 }).forEach((_, index) => timeout.recordResponseTime(index % 2 === 0 ? 100 : 140));
    const baselineMs = timeout.computeTimeoutMs();
    Array.from({ length: 50 }).forEach(() => timeout.recordUnansweredTime(1));
    expect(timeout.computeTimeoutMs()).toBe(baselineMs);
  });
});
