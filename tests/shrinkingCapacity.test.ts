/*
 * Guards against starts that don't fit on an endpoint any more because its capacity shrank while their record was written to the log.
 * Running tasks stay.
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

describe('an endpoint whose capacity shrinks', () => {
  let dispatcher: Dispatcher;
  let now: number;

  beforeEach(() => {
    now = 0;
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    sendCapacity(ENDPOINT, CORES);
    sendStatus([]);
  });

  const sendCapacity = (id: EndpointIncarnation, cores: number): void =>
    dispatcher.handleEndpointProfile(
      createProfile(id, { capacity: { cpuMillis: cores * 1000, memoryMb: 10_000, accelerators: 0 } }),
    );

  const sendStatus = (ended: readonly StartEffect[], id = ENDPOINT): void => {
    const runs = [...(dispatcher.getEndpointState(id)?.getRuns() ?? [])];
    const endedTasks = new Set(ended.map(({ command }) => command.task));
    const running = runs
      .filter(({ task, stage }) => stage === 'running' && !endedTasks.has(task))
      .map(({ task, run }) => ({ task, run, checkpoint: '', percent: 10, load: 0 }));
    const rows = ended.map(({ command }, index) => ({
      number: index + 1,
      task: command.task,
      run: command.run,
      how: 'done' as const,
      checkpoint: '',
    }));
    dispatcher.handleStatus({ endpoint: id, running, ended: rows, pollSentAt: now }, now, now);
  };

  const sendJob = (definition: JobDefinition): void =>
    dispatcher.handleJob(definition, new JobProgress(definition), now);

  const placeTasks = (): readonly StartEffect[] => {
    dispatcher.placeWaiting(now, now);
    return dispatcher.takeEffects().filter((effect): effect is StartEffect => effect.kind === 'start');
  };

  /** Confirms the records of starts. Returns the starts that are sent, and responds to them. */
  const confirmStarts = (starts: readonly StartEffect[]): readonly StartEffect[] => {
    const sent = starts.filter((effect) => dispatcher.handleStartRecorded(effect, now));
    for (const { endpoint, command } of sent) {
      dispatcher.handleStartResult(endpoint, command.task, command.run, { kind: 'done' }, now);
    }
    return sent;
  };

  it('gets no start that was placed before and does not fit any more', () => {
    sendJob(createJob(1, CORES));
    const placed = placeTasks();
    expect(placed).toHaveLength(CORES);
    sendCapacity(ENDPOINT, 2);
    expect(confirmStarts(placed)).toHaveLength(2);
    expect(dispatcher.getEndpointState(ENDPOINT)!.getFreeCpuMillis()).toBe(0);
  });

  it('keeps its running tasks, and starts others only when they fit', () => {
    sendJob(createJob(1, CORES));
    const sent = confirmStarts(placeTasks());
    sendCapacity(ENDPOINT, 2);
    sendJob(createJob(2, 1));
    expect(placeTasks()).toEqual([]);
    sendStatus(sent.slice(0, 2));
    expect(placeTasks()).toEqual([]);
    sendStatus(sent.slice(2, 3));
    expect(confirmStarts(placeTasks())).toHaveLength(1);
    expect(dispatcher.takeEffects().filter(({ kind }) => kind === 'stop')).toEqual([]);
  });

  it('holds the capacity of stopped runs until they have ended', () => {
    const job = createJob(1, 2);
    sendJob(job);
    confirmStarts(placeTasks());
    sendCapacity(ENDPOINT, 2);
    dispatcher.handleCancel(job.id, now);
    sendJob(createJob(2, 1));
    expect(placeTasks()).toEqual([]);
  });

  it('is used again once its capacity has grown', () => {
    sendCapacity(ENDPOINT, 1);
    sendJob(createJob(1, CORES));
    expect(confirmStarts(placeTasks())).toHaveLength(1);
    sendCapacity(ENDPOINT, CORES);
    expect(confirmStarts(placeTasks())).toHaveLength(CORES - 1);
  });

  it('runs no incomplete gang: members that were sent are stopped, and the gang starts again as a whole', () => {
    sendJob(createJob(1, CORES, { isGang: true }));
    const placed = placeTasks();
    sendCapacity(ENDPOINT, 3);
    const sent = confirmStarts(placed);
    expect(sent).toHaveLength(3);
    dispatcher.handleTick(now);
    const stops = dispatcher.takeEffects().filter((effect) => effect.kind === 'stop');
    expect(stops).toHaveLength(3);
    for (const { endpoint, command } of sent) {
      dispatcher.handleStopResult(endpoint, command.task, command.run, { kind: 'done' }, now);
    }
    now += 10;
    const other = toId<EndpointIncarnation>('i-1');
    sendCapacity(other, CORES);
    sendStatus([], other);
    sendStatus([]);
    const again = confirmStarts(placeTasks());
    expect(again).toHaveLength(CORES);
    expect(again.filter(({ endpoint }) => endpoint === ENDPOINT).length).toBeLessThanOrEqual(3);
  });

  it('gets no starts from a new leader while runs of earlier leaders exceed its capacity', () => {
    const [before, after] = [createJob(1, CORES), createJob(2, 1)];
    const progress = new JobProgress(before);
    for (let index = 0; index < CORES; index += 1) {
      progress.recordRunPlaced({ repetition: 0, step: 0, index }, 1, ENDPOINT);
    }
    dispatcher = new Dispatcher({ getDefinition: () => before, earlierLeasesEndAt: 0 });
    sendCapacity(ENDPOINT, 2);
    dispatcher.handleJob(before, progress, now);
    sendJob(after);
    const running = [...dispatcher.getEndpointState(ENDPOINT)!.getRuns()].map(({ task, run }) => ({
      task,
      run,
      checkpoint: '',
      percent: 10,
      load: 0,
    }));
    dispatcher.handleStatus({ endpoint: ENDPOINT, running, ended: [], pollSentAt: now }, now, now);
    expect(placeTasks()).toEqual([]);
  });
});
