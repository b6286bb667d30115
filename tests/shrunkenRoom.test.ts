/*
 * An endpoint's room may shrink and grow while it runs. What runs there may stay; nothing may be started that would not fit. A start that was
 * decided before the smaller room became known is on its way to the log for some milliseconds: it left all the same, since only the decision
 * looked at the room. The same holds for what is sent after the check as for tasks that end their endpoint: each order has to be worth sending
 * by what is known when it leaves.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobStep } from '../packages/jobs/JobStep';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

type StartEffect = Extract<DispatchEffect, { kind: 'start' }>;

const ENDPOINT = toId<EndpointIncarnation>('i-0');
const CORES = 4;

const createJob = (number: number, count: number, fields: Partial<JobStep> = {}): JobDefinition =>
  createJobDefinition(number, [createStep({ count, ...fields })]);

describe('an endpoint whose room shrinks', () => {
  let dispatcher: Dispatcher;
  let now: number;

  beforeEach(() => {
    now = 0;
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    sendRoom(ENDPOINT, CORES);
    sendLook([]);
  });

  const sendRoom = (id: EndpointIncarnation, cores: number): void =>
    dispatcher.handleEndpointProfile(
      createProfile(id, { capacity: { cpuMillis: cores * 1000, memoryMb: 10_000, accelerators: 0 } }),
    );

  const sendLook = (ended: readonly StartEffect[], id = ENDPOINT): void => {
    const runs = [...(dispatcher.getEndpointState(id)?.getRuns() ?? [])];
    const gone = new Set(ended.map(({ command: order }) => order.task));
    const running = runs
      .filter(({ task, stage }) => stage === 'running' && !gone.has(task))
      .map(({ task, run }) => ({ task, run, checkpoint: '', percent: 10, load: 0 }));
    const rows = ended.map(({ command: order }, index) => ({
      number: index + 1,
      task: order.task,
      run: order.run,
      how: 'done' as const,
      checkpoint: '',
    }));
    dispatcher.handleStatus({ endpoint: id, running, ended: rows, sentAt: now }, now, now);
  };

  const sendJob = (definition: JobDefinition): void =>
    dispatcher.handleJob(definition, new JobProgress(definition), now);

  const readPlaced = (): readonly StartEffect[] => {
    dispatcher.placeWaiting(now, now);
    return dispatcher.takeEffects().filter((effect): effect is StartEffect => effect.kind === 'start');
  };

  /** Lets the records of starts be durable; gives those that leave. */
  const sendStarts = (starts: readonly StartEffect[]): readonly StartEffect[] => {
    const sent = starts.filter((effect) => dispatcher.handleStartRecorded(effect, now));
    for (const { endpoint, command: order } of sent) {
      dispatcher.handleStartResult(endpoint, order.task, order.run, { kind: 'done' }, now);
    }
    return sent;
  };

  it('gets no start that was decided before and would not fit any more', () => {
    sendJob(createJob(1, CORES));
    const placed = readPlaced();
    expect(placed).toHaveLength(CORES);
    sendRoom(ENDPOINT, 2);
    expect(sendStarts(placed)).toHaveLength(2);
    expect(dispatcher.getEndpointState(ENDPOINT)!.getFreeCpuMillis()).toBe(0);
  });

  it('keeps what runs, and starts nothing until it fits', () => {
    sendJob(createJob(1, CORES));
    const sent = sendStarts(readPlaced());
    sendRoom(ENDPOINT, 2);
    sendJob(createJob(2, 1));
    expect(readPlaced()).toEqual([]);
    sendLook(sent.slice(0, 2));
    expect(readPlaced()).toEqual([]);
    sendLook(sent.slice(2, 3));
    expect(sendStarts(readPlaced())).toHaveLength(1);
    expect(dispatcher.takeEffects().filter(({ kind }) => kind === 'stop')).toEqual([]);
  });

  it('counts what is being stopped until it has ended', () => {
    const job = createJob(1, 2);
    sendJob(job);
    sendStarts(readPlaced());
    sendRoom(ENDPOINT, 2);
    dispatcher.handleCancel(job.id, now);
    sendJob(createJob(2, 1));
    expect(readPlaced()).toEqual([]);
  });

  it('is used again once its room has grown', () => {
    sendRoom(ENDPOINT, 1);
    sendJob(createJob(1, CORES));
    expect(sendStarts(readPlaced())).toHaveLength(1);
    sendRoom(ENDPOINT, CORES);
    expect(sendStarts(readPlaced())).toHaveLength(CORES - 1);
  });

  it('takes no part of a gang: members that have left are stopped, and it starts again as a whole', () => {
    sendJob(createJob(1, CORES, { isGang: true }));
    const placed = readPlaced();
    sendRoom(ENDPOINT, 3);
    const sent = sendStarts(placed);
    expect(sent).toHaveLength(3);
    dispatcher.handleTick(now);
    const stops = dispatcher.takeEffects().filter((effect) => effect.kind === 'stop');
    expect(stops).toHaveLength(3);
    for (const { endpoint, command: order } of sent) {
      dispatcher.handleStopResult(endpoint, order.task, order.run, { kind: 'done' }, now);
    }
    now += 10;
    const other = toId<EndpointIncarnation>('i-1');
    sendRoom(other, CORES);
    sendLook([], other);
    sendLook([]);
    const again = sendStarts(readPlaced());
    expect(again).toHaveLength(CORES);
    expect(again.filter(({ endpoint }) => endpoint === ENDPOINT).length).toBeLessThanOrEqual(3);
  });

  it('gets nothing more from a new leader while what earlier ones left there exceeds it', () => {
    const [before, after] = [createJob(1, CORES), createJob(2, 1)];
    const progress = new JobProgress(before);
    for (let index = 0; index < CORES; index += 1) {
      progress.recordPlaced({ time: 0, step: 0, index }, 1, ENDPOINT);
    }
    dispatcher = new Dispatcher({ getDefinition: () => before, earlierLeasesEndAt: 0 });
    sendRoom(ENDPOINT, 2);
    dispatcher.handleJob(before, progress, now);
    sendJob(after);
    const running = [...dispatcher.getEndpointState(ENDPOINT)!.getRuns()].map(({ task, run }) => ({
      task,
      run,
      checkpoint: '',
      percent: 10,
      load: 0,
    }));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running, ended: [], sentAt: now }, now, now);
    expect(readPlaced()).toEqual([]);
  });
});
