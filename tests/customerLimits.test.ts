import { beforeEach, describe, expect, it } from 'vitest';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobStep } from '../packages/jobs/JobStep';
import type { TaskDemand } from '../packages/jobs/TaskDemand';
import { createCustomer } from './helpers/createCustomer';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type Start = Extract<DispatchEffect, { kind: 'start' }>;

const LIMIT = { cpuMillis: 3000, memoryMb: 0, accelerators: 0 };
const ADVICE = { decisionMs: 20, perEndpointMs: 1, validityMs: 2500 };
const PROFILES = ['i-0', 'i-1', 'i-2'].map((id) => createProfile(id));

describe('a customer at its limit', () => {
  let dispatcher: Dispatcher;
  let limit: TaskDemand | undefined;

  const startLeader = (earlierLeasesEndAt = 0, isSynced = true): void => {
    dispatcher = new Dispatcher({
      getDefinition: () => undefined,
      earlierLeasesEndAt,
      getCustomerLimit: () => limit,
    });
    PROFILES.forEach((profile) => dispatcher.handleEndpointProfile(profile));
    if (isSynced) {
      PROFILES.forEach(({ incarnation: endpoint }) =>
        dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: 0 }, 1, 1),
      );
    }
  };

  beforeEach(() => {
    limit = undefined;
    startLeader();
  });

  const createJob = (number: number, steps: readonly JobStep[], queue = {}): JobDefinition => ({
    ...createJobDefinition(number, steps, queue),
    customer: createCustomer('clinic', LIMIT),
  });

  const handleJob = (definition: JobDefinition): void =>
    dispatcher.handleJob(definition, new JobProgress(definition), 1);

  /** Places what may start, confirms its records and responses, and returns the starts. */
  const placeAll = (now: number): readonly Start[] => {
    dispatcher.placeWaiting(now, now);
    const starts = listEffects('start');
    for (const start of starts) {
      dispatcher.handleStartRecorded(start, now);
      dispatcher.handleStartResult(
        start.endpoint,
        start.command.task,
        start.command.run,
        { kind: 'done' },
        now,
      );
    }
    return starts;
  };

  const listEffects = <Kind extends DispatchEffect['kind']>(kind: Kind) =>
    dispatcher
      .takeEffects()
      .filter((effect): effect is Extract<DispatchEffect, { kind: Kind }> => effect.kind === kind);

  /** Reports by a poll that one run is done and the others on its endpoint go on. */
  const sendDone = (start: Start, now: number): void => {
    const { task, run } = start.command;
    const others = [...dispatcher.getEndpointState(start.endpoint)!.getRuns()].filter(
      (other) => other.task !== task,
    );
    const running = others.map((other) => ({ ...other, percent: 10, load: 0 }));
    const ended = [{ number: 1, task, run, how: 'done', checkpoint: '' } as const];
    dispatcher.handleStatus({ endpoint: start.endpoint, running, ended, pollSentAt: now }, now, now);
  };

  it('runs a wide step in waves, without effect on other customers', () => {
    const other = {
      ...createJobDefinition(2, [createStep({ count: 2 })]),
      customer: createCustomer('builders', LIMIT),
    };
    handleJob(createJob(1, [createStep({ count: 8 })]));
    handleJob(other);
    const first = placeAll(2);
    expect(first.filter(({ job }) => job === other.id)).toHaveLength(2);
    const own = first.filter(({ job }) => job !== other.id);
    expect(own).toHaveLength(3);
    expect(placeAll(3)).toEqual([]);
    sendDone(own[0]!, 500);
    expect(placeAll(501)).toHaveLength(1);
  });

  it('has `limit` as the cause of its waits', () => {
    handleJob(createJob(1, [createStep({ count: 4 })]));
    const first = placeAll(2);
    sendDone(first[0]!, 302);
    const [later] = placeAll(302);
    expect(later?.waits).toMatchObject({ limit: 300, room: 0, round: 0 });
  });

  it('starts a gang as a whole or not at all', () => {
    handleJob(createJob(1, [createStep({ count: 2 })]));
    handleJob(createJob(2, [createStep({ count: 2, isGang: true })]));
    const first = placeAll(2);
    expect(first.map(({ job }) => job)).toEqual([first[0]!.job, first[0]!.job]);
    first.forEach((start, index) => sendDone(start, 500 + index));
    expect(placeAll(600)).toHaveLength(2);
  });

  it('may start tasks again only when a stopped run is known to have ended', () => {
    const job = createJob(1, [createStep({ count: 3 })]);
    handleJob(job);
    const starts = placeAll(2);
    handleJob(createJob(2, [createStep({ count: 3 })]));
    dispatcher.handleCancel(job.id, 100);
    expect(placeAll(100)).toEqual([]);
    starts.forEach(({ endpoint, command }) =>
      dispatcher.handleStopResult(endpoint, command.task, command.run, { kind: 'done' }, 110),
    );
    expect(placeAll(120)).toEqual([]);
    PROFILES.forEach(({ incarnation: endpoint }) =>
      dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: 130 }, 131, 131),
    );
    expect(placeAll(132)).toHaveLength(3);
  });

  it('is charged for starts without a response until they are known not to run', () => {
    handleJob(createJob(1, [createStep({ count: 3 })]));
    dispatcher.placeWaiting(2, 2);
    const starts = listEffects('start');
    starts.forEach((start) => dispatcher.handleStartRecorded(start, 2));
    for (const { endpoint, command } of starts) {
      dispatcher.handleStartResult(
        endpoint,
        command.task,
        command.run,
        { kind: 'unanswered', detail: '' },
        50,
      );
    }
    handleJob(createJob(2, [createStep({ count: 1 })]));
    // Other endpoints have free capacity and respond.
    PROFILES.forEach(({ incarnation: endpoint }) =>
      dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: 60 }, 61, 61),
    );
    expect(placeAll(62)).toEqual([]);
  });

  it('is charged for runs of an earlier leader before the first start, also on unreachable endpoints', () => {
    const job = createJob(1, [createStep({ count: 3 })]);
    const progress = new JobProgress(job);
    [0, 1, 2].forEach((index) =>
      progress.recordRunPlaced({ repetition: 0, step: 0, index }, 1, PROFILES[2]!.incarnation),
    );
    startLeader(5000, false);
    dispatcher.handleJob(job, progress, 1);
    handleJob(createJob(2, [createStep({ count: 1 })]));
    const reachable = PROFILES.slice(0, 2);
    reachable.forEach(({ incarnation: endpoint }) =>
      dispatcher.handleStatus({ endpoint, running: [], ended: [], pollSentAt: 2 }, 3, 3),
    );
    dispatcher.handleTick(4000);
    expect(placeAll(4000)).toEqual([]);
    dispatcher.handleTick(5001);
    expect(placeAll(5002)).toHaveLength(3);
  });

  it('is charged for the processor demand of fillers', () => {
    handleJob(createJob(1, [createStep({ count: 8, isFiller: true, isLongRunning: true })]));
    expect(placeAll(2)).toHaveLength(3);
  });

  it('follows the configured limit: a lower one stops no runs and allows no starts, a higher one allows more', () => {
    handleJob(createJob(1, [createStep({ count: 9 })]));
    expect(placeAll(2)).toHaveLength(3);
    limit = { ...LIMIT, cpuMillis: 1000 };
    dispatcher.handleTick(100);
    expect(listEffects('stop')).toEqual([]);
    expect(placeAll(100)).toEqual([]);
    limit = { ...LIMIT, cpuMillis: 5000 };
    dispatcher.handleTick(200);
    expect(placeAll(200)).toHaveLength(2);
  });

  it('requests advice only while tasks may start', () => {
    const [own, others] = [
      createJob(1, [createStep({ count: 3 })]),
      createJob(2, [createStep({ count: 40 })], { advice: ADVICE }),
    ];
    handleJob(own);
    const starts = placeAll(2);
    handleJob(others);
    dispatcher.placeWaiting(3, 3);
    expect(listEffects('advise')).toEqual([]);
    sendDone(starts[0]!, 400);
    dispatcher.placeWaiting(400, 400);
    expect(listEffects('advise')).toHaveLength(1);
  });

  it('causes no preemption for tasks over the limit', () => {
    limit = { ...LIMIT, cpuMillis: 12_000 };
    handleJob(createJob(1, [createStep({ count: 12, isCheckpointing: true })], { priority: 2 }));
    expect(placeAll(2)).toHaveLength(12);
    handleJob(
      createJob(2, [
        createStep({ count: 2, isGang: true, demand: { cpuMillis: 2000, memoryMb: 1, accelerators: 0 } }),
      ]),
    );
    dispatcher.placeWaiting(50, 50);
    expect(listEffects('stop')).toEqual([]);
  });
});
