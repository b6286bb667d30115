/*
 * Guards against jobs that keep the policy of their queue as it was when they were accepted, after a later version of the configuration has changed
 * it: they wait for endpoints of a service that no queue uses any more.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobQueue } from '../packages/jobs/JobQueue';
import type { ServiceName } from '../packages/jobs/ServiceName';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep as createSteps } from './helpers/createStep';

type EffectOf<Kind extends DispatchEffect['kind']> = Extract<DispatchEffect, { kind: Kind }>;
type StartEffect = EffectOf<'start'>;
type StepFields = Parameters<typeof createSteps>[0];

const OLD = toId<ServiceName>('service-a');
const NEW = toId<ServiceName>('service-b');
const [OLD_ENDPOINT, NEW_ENDPOINT] = ['i-old', 'i-new'].map((name) => toId<EndpointIncarnation>(name));
const WHOLE = { cpuMillis: 4000, memoryMb: 100, accelerators: 0 };
const SMALL = { cpuMillis: 1000, memoryMb: 100, accelerators: 0 };
const { queue: QUEUE } = createJobDefinition(1, []);

const createStep = (fields: StepFields = {}) => createSteps({ count: 1, ...fields });

let dispatcher: Dispatcher;
let now: number;

const addJob = (definition: JobDefinition, progress = new JobProgress(definition)): void =>
  dispatcher.handleJob(definition, progress, now);

const applyVersion = (version: number, ...queues: readonly Partial<JobQueue>[]): void =>
  dispatcher.handleQueuePolicies(
    version,
    queues.map((queue) => ({ ...QUEUE, ...queue })),
    now,
  );

/** Runs a round, and confirms its starts. */
const runRound = (): readonly StartEffect[] => {
  now += 100;
  dispatcher.handleTick(now);
  dispatcher.placeWaiting(now, now);
  const starts = dispatcher.takeEffects().filter((effect) => effect.kind === 'start');
  for (const start of starts) {
    const { task, run } = start.command;
    dispatcher.handleStartRecorded(start, now);
    dispatcher.handleStartResult(start.endpoint, task, run, { kind: 'done' }, now);
  }
  return starts;
};

const sendEnd = (
  { endpoint, command }: StartEffect,
  how: 'done' | 'failed' | 'stopped',
  checkpoint = '',
): void => {
  now += 100;
  const ended = [{ number: 1, task: command.task, run: command.run, how, checkpoint }];
  dispatcher.handleStatus({ endpoint, running: [], ended, pollSentAt: now }, now, now);
};

const listEndpoints = (starts: readonly StartEffect[]): readonly EndpointIncarnation[] =>
  starts.map(({ endpoint }) => endpoint);

beforeEach(() => {
  now = 1000;
  dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
  dispatcher.handleEndpointProfile(createProfile('i-old', { service: OLD }));
  dispatcher.handleEndpointProfile(createProfile('i-new', { service: NEW }));
  for (const endpoint of [OLD_ENDPOINT!, NEW_ENDPOINT!]) {
    dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: now }, now, now);
  }
});

describe('a job accepted before its queue was given another service', () => {
  it('starts on endpoints of the new service, when it waited for the old one', () => {
    addJob(createJobDefinition(1, [createStep({ demand: WHOLE })]));
    addJob(createJobDefinition(2, [createStep({ demand: SMALL })]));
    expect(listEndpoints(runRound())).toEqual([OLD_ENDPOINT]);
    applyVersion(2, { service: NEW });
    expect(listEndpoints(runRound())).toEqual([NEW_ENDPOINT]);
  });

  it('keeps its run on the old service, and starts again on the new one after a failure', () => {
    addJob(createJobDefinition(1, [createStep({ demand: SMALL })]));
    const [first] = runRound();
    applyVersion(2, { service: NEW });
    expect(runRound()).toEqual([]);
    expect(dispatcher.takeEffects().filter(({ kind }) => kind === 'stop')).toEqual([]);
    sendEnd(first!, 'failed');
    expect(listEndpoints(runRound())).toEqual([NEW_ENDPOINT]);
  });

  it('resumes from its checkpoint there', () => {
    addJob(createJobDefinition(1, [createStep({ demand: SMALL, isCheckpointing: true })]));
    const [first] = runRound();
    applyVersion(2, { service: NEW });
    sendEnd(first!, 'stopped', 'saved');
    expect(runRound().map(({ endpoint, command }) => [endpoint, command.checkpoint])).toEqual([
      [NEW_ENDPOINT, 'saved'],
    ]);
  });

  it('runs its later steps there', () => {
    addJob(
      createJobDefinition(1, [createStep({ demand: SMALL }), createStep({ demand: SMALL, dependsOn: [0] })]),
    );
    const [first] = runRound();
    applyVersion(2, { service: NEW });
    sendEnd(first!, 'done');
    expect(listEndpoints(runRound())).toEqual([NEW_ENDPOINT]);
  });

  it('restarts its long-running tasks there', () => {
    addJob(createJobDefinition(1, [createStep({ demand: SMALL, isLongRunning: true })]));
    const [first] = runRound();
    applyVersion(2, { service: NEW });
    sendEnd(first!, 'stopped');
    expect(listEndpoints(runRound())).toEqual([NEW_ENDPOINT]);
  });

  it('follows the last of several versions, and goes back to a service that comes back', () => {
    addJob(createJobDefinition(1, [createStep({ demand: WHOLE })]));
    addJob(createJobDefinition(2, [createStep({ demand: SMALL })]));
    const [first] = runRound();
    applyVersion(2, { service: NEW });
    applyVersion(3, { service: OLD });
    expect(runRound()).toEqual([]);
    sendEnd(first!, 'done');
    expect(listEndpoints(runRound())).toEqual([OLD_ENDPOINT]);
  });

  it('ignores a version that is read late', () => {
    applyVersion(3, { service: NEW });
    applyVersion(2, { service: OLD });
    addJob(createJobDefinition(1, [createStep({ demand: SMALL })]));
    expect(listEndpoints(runRound())).toEqual([NEW_ENDPOINT]);
  });

  it('starts on the new service under a leader that knows only the newest version', () => {
    applyVersion(2, { service: NEW });
    const definition = createJobDefinition(1, [createStep({ count: 2, demand: SMALL })]);
    const progress = new JobProgress(definition);
    progress.recordRunPlaced({ repetition: 0, step: 0, index: 0 }, 1, OLD_ENDPOINT!);
    addJob(definition, progress);
    expect(listEndpoints(runRound())).toEqual([NEW_ENDPOINT]);
    expect(dispatcher.getEndpointState(OLD_ENDPOINT!)?.countRuns()).toBe(1);
  });
});

describe('a job whose queue the newest version does not have', () => {
  it('goes on as accepted', () => {
    addJob(createJobDefinition(1, [createStep({ demand: SMALL })]));
    applyVersion(2, { name: 'other', service: NEW });
    expect(listEndpoints(runRound())).toEqual([OLD_ENDPOINT]);
  });

  it('goes on with the last policy that its leader has applied', () => {
    addJob(createJobDefinition(1, [createStep({ demand: WHOLE })]));
    addJob(createJobDefinition(2, [createStep({ demand: SMALL })]));
    runRound();
    applyVersion(2, { service: NEW });
    applyVersion(3, { name: 'other' });
    expect(listEndpoints(runRound())).toEqual([NEW_ENDPOINT]);
  });
});

describe('a job accepted by a later version than its leader has applied', () => {
  it('goes on as accepted until the leader has that version', () => {
    applyVersion(2, { service: OLD });
    const accepted = createJobDefinition(1, [createStep({ count: 2, demand: WHOLE })], { service: NEW });
    addJob({ ...accepted, queueVersion: 3 });
    const [first] = runRound();
    expect(first?.endpoint).toBe(NEW_ENDPOINT);
    applyVersion(4, { service: OLD });
    expect(listEndpoints(runRound())).toEqual([OLD_ENDPOINT]);
  });
});

describe('the other fields of a changed policy', () => {
  const failOnce = (): StartEffect => {
    addJob(createJobDefinition(1, [createStep({ demand: SMALL })], { attempts: 2 }));
    const [first] = runRound();
    sendEnd(first!, 'failed');
    return first!;
  };

  it('allow more attempts than at the acceptance', () => {
    const { job } = failOnce();
    applyVersion(2, { attempts: 3 });
    const [second] = runRound();
    sendEnd(second!, 'failed');
    expect(dispatcher.getJob(job)?.progress.getState()).not.toBe('failed');
    expect(runRound()).toHaveLength(1);
  });

  it('allow fewer, and start no task that has used them up', () => {
    const { job } = failOnce();
    applyVersion(2, { attempts: 1 });
    expect(dispatcher.getJob(job)?.progress.getState()).toBe('failed');
    expect(runRound()).toEqual([]);
  });

  it('require advice from then on', () => {
    addJob(createJobDefinition(1, [createStep({ demand: SMALL })]));
    applyVersion(2, { advice: { decisionMs: 10, perEndpointMs: 1, validityMs: 2500 } });
    now += 100;
    dispatcher.placeWaiting(now, now);
    expect(dispatcher.takeEffects().map(({ kind }) => kind)).toContain('advise');
  });

  it('change the priority of waiting jobs and of their runs', () => {
    addJob(createJobDefinition(1, [createStep({ demand: WHOLE })], { name: 'a', priority: 0 }));
    runRound();
    addJob(createJobDefinition(2, [createStep({ demand: WHOLE })], { name: 'b', priority: 0 }));
    addJob(createJobDefinition(3, [createStep({ demand: WHOLE })], { name: 'c', priority: 0 }));
    applyVersion(2, { name: 'a', priority: 5 }, { name: 'b', priority: 3 }, { name: 'c', priority: 1 });
    const [run] = [...dispatcher.getEndpointState(OLD_ENDPOINT!)!.getRuns()];
    expect(run?.priority).toBe(5);
    sendEnd({ endpoint: OLD_ENDPOINT!, command: { task: run!.task, run: run!.run } } as StartEffect, 'done');
    expect(runRound().map(({ job }) => job)).toEqual([createJobDefinition(3, []).id]);
  });
});
