import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { formatProgress } from '../packages/jobs/formatProgress';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobStep } from '../packages/jobs/JobStep';
import { parseProgress } from '../packages/jobs/parseProgress';
import type { TaskCrash } from '../packages/jobs/TaskCrash';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';

const FIRST_TASK = { time: 0, step: 0, index: 0 };

const createJob = (fields: Partial<JobStep> = {}): JobDefinition =>
  createJobDefinition(1, [createStep({ count: 1, ...fields })]);

describe('the end of an endpoint', () => {
  let dispatcher: Dispatcher;
  let now: number;
  let lifeCount: number;
  let effects: DispatchEffect[];

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    now = 0;
    lifeCount = 0;
    effects = [];
  });

  /** An endpoint that has answered a look. */
  const startEndpoint = (): EndpointIncarnation => {
    lifeCount += 1;
    const id = toId<EndpointIncarnation>(`i-${lifeCount}`);
    dispatcher.handleEndpointProfile(createProfile(id));
    sendLook(id);
    return id;
  };

  const sendLook = (id: EndpointIncarnation): void => {
    const running = [...(dispatcher.getEndpointState(id)?.getRuns() ?? [])].map(({ task, run }) => ({
      task,
      run,
      checkpoint: '',
      percent: 1,
      load: 0,
    }));
    dispatcher.handleStatus({ endpoint: id, running, ended: [], sentAt: now }, now, now);
  };

  /** Places what waits, and lets every start be confirmed. */
  const startRuns = (): void => {
    dispatcher.handleTick(now);
    dispatcher.placeWaiting(now, now);
    for (const effect of dispatcher.takeEffects()) {
      effects.push(effect);
      if (effect.kind === 'start' && dispatcher.handleStartRecorded(effect, now)) {
        const { task, run } = effect.command;
        dispatcher.handleStartResult(effect.endpoint, task, run, { kind: 'done' }, now);
      }
    }
  };

  const sendJob = (definition: JobDefinition): void =>
    dispatcher.handleJob(definition, new JobProgress(definition), now);

  const stopEndpoint = (id: EndpointIncarnation): void => {
    dispatcher.handleUnreachable(id, now);
    now += 3000;
    dispatcher.handleIncarnationEnd(id, now);
  };

  /** A run on an endpoint that falls silent until its lease has run out; gives the endpoint. */
  const startLapsedRun = (): EndpointIncarnation => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.getEndpointState(id)!.recordLease(4000);
    dispatcher.handleUnreachable(id, now);
    now = 4100;
    dispatcher.handleTick(now);
    return id;
  };

  const readCrashes = (definition: JobDefinition): readonly Pick<TaskCrash, 'endpoint' | 'blame'>[] =>
    dispatcher
      .getJob(definition.id)!
      .progress.getTask(FIRST_TASK)!
      .crashes.map(({ endpoint, blame }) => ({ endpoint, blame }));

  it('is charged to the run that had just begun there, and to none that is not recorded', () => {
    const id = startEndpoint();
    const [begun, unrecorded] = [createJob(), { ...createJob(), id: createJobDefinition(2, []).id }];
    sendJob(begun);
    startRuns();
    sendJob(unrecorded);
    dispatcher.placeWaiting(now, now);
    stopEndpoint(id);
    expect(readCrashes(begun)).toEqual([{ endpoint: id, blame: 'sole' }]);
    expect(readCrashes(unrecorded)).toEqual([]);
  });

  it('is not charged when the endpoint had said that it leaves', () => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.handleEndpointProfile(createProfile(id, { isDraining: true, remainingMs: 0 }));
    stopEndpoint(id);
    expect(readCrashes(createJob())).toEqual([]);
  });

  it('is not charged when the endpoint served on without a record', () => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.handleEndpointDeregistered(id);
    sendLook(id);
    stopEndpoint(id);
    expect(readCrashes(createJob())).toEqual([]);
  });

  it('is not charged to a start that was never delivered, whose task starts elsewhere at once', () => {
    const [id] = [startEndpoint(), startEndpoint()];
    sendJob(createJob());
    dispatcher.placeWaiting(now, now);
    const start = dispatcher.takeEffects().find((effect) => effect.kind === 'start')!;
    expect(dispatcher.handleStartRecorded(start, now)).toBe(true);
    const refused = { kind: 'undelivered', detail: 'ECONNREFUSED' } as const;
    dispatcher.handleStartResult(start.endpoint, start.command.task, start.command.run, refused, now);
    dispatcher.placeWaiting(now, now);
    const again = dispatcher.takeEffects().find((effect) => effect.kind === 'start')!;
    expect(again.endpoint).not.toBe(start.endpoint);
    stopEndpoint(start.endpoint);
    expect([id, 'i-2']).toContain(start.endpoint);
    expect(readCrashes(createJob())).toEqual([]);
  });

  it('is not known while an endpoint is only silent: heard again it takes nothing with it', () => {
    const id = startLapsedRun();
    expect(readCrashes(createJob())).toEqual([{ endpoint: id, blame: 'unproved' }]);
    sendLook(id);
    expect(readCrashes(createJob())).toEqual([]);
  });

  it('is known later where another life answers after the lease has run out', () => {
    const id = startLapsedRun();
    expect(dispatcher.isCrashUnconfirmed(id, now)).toBe(true);
    dispatcher.handleIncarnationEnd(id, now);
    expect(readCrashes(createJob())).toEqual([{ endpoint: id, blame: 'sole' }]);
  });

  it('makes its task wait before the next start, longer each time, and no sibling', () => {
    const job = createJob({ count: 2, demand: { cpuMillis: 3000, memoryMb: 100, accelerators: 0 } });
    const first = startEndpoint();
    sendJob(job);
    startRuns();
    stopEndpoint(first);
    startEndpoint();
    startRuns();
    const { progress } = dispatcher.getJob(job.id)!;
    const readPhases = (): readonly string[] => progress.listTasks(0, 0).map(({ phase }) => phase);
    expect(readPhases()).toEqual(['waiting', 'placed']);
    startEndpoint();
    now += 400;
    startRuns();
    expect(readPhases()[0]).toBe('waiting');
    now += 200;
    startRuns();
    expect(readPhases()[0]).toBe('placed');
  });

  it('ends the job of a task that ended two, with the reason and the endpoints in the log', () => {
    for (const fields of [{}, { isLongRunning: true }, { allowsDuplicates: true }, { isGang: true }]) {
      const job = { ...createJob(fields), id: createJobDefinition(lifeCount + 1, []).id };
      const ended: EndpointIncarnation[] = [];
      sendJob(job);
      for (let count = 0; count < 2; count += 1) {
        const id = startEndpoint();
        startRuns();
        ended.push(id);
        stopEndpoint(id);
        now += 3000;
      }
      const { progress } = dispatcher.getJob(job.id)!;
      startRuns();
      expect(progress.getState()).toBe('failed');
      expect(effects).toContainEqual(
        expect.objectContaining({
          message: 'Task is given up: endpoints ended under it.',
          fields: expect.objectContaining({
            job: job.id,
            crashes: ended.map((endpoint) => ({ endpoint, blame: 'sole', ageMs: 0 })),
          }) as unknown,
        }),
      );
    }
  });

  it('is forgiven once a run of the task has worked for much longer than the one that was lost', () => {
    const job = createJob({ isLongRunning: true });
    const first = startEndpoint();
    sendJob(job);
    startRuns();
    now += 700;
    sendLook(first);
    stopEndpoint(first);
    expect(readCrashes(job)).toEqual([{ endpoint: first, blame: 'present' }]);
    const second = startEndpoint();
    startRuns();
    now += 2300;
    sendLook(second);
    expect(readCrashes(job)).toHaveLength(1);
    now += 200;
    sendLook(second);
    expect(readCrashes(job)).toEqual([]);
  });

  it('is kept with the progress of the job, and records without it have none', () => {
    const job = createJob();
    const progress = new JobProgress(job);
    progress.recordPlaced(FIRST_TASK, 1, toId<EndpointIncarnation>('i-1'));
    const before = formatProgress(job, progress);
    expect(before).not.toContain('crashes');
    expect(parseProgress(job, before)!.getTask(FIRST_TASK)!.crashes).toEqual([]);
    const crashes: readonly TaskCrash[] = [
      { endpoint: toId<EndpointIncarnation>('i-1'), blame: 'sole', ageMs: 10 },
      { endpoint: toId<EndpointIncarnation>('i-2'), blame: 'unproved', ageMs: 0 },
    ];
    crashes.forEach((crash) => progress.recordCrash(FIRST_TASK, crash));
    const after = parseProgress(job, formatProgress(job, progress))!;
    expect(after.getTask(FIRST_TASK)!.crashes).toEqual(crashes);
  });
});
