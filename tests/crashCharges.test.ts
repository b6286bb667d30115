import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { progressTexts } from '../packages/jobs/progressTexts';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobStep } from '../packages/jobs/JobStep';
import { parseProgress } from '../packages/jobs/parseProgress';
import type { TaskCrash } from '../packages/jobs/TaskCrash';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createRunningStatus } from './helpers/createRunningStatus';
import { createStep } from './helpers/createStep';
import { startWaitingRuns } from './helpers/startWaitingRuns';

const FIRST_TASK = { repetition: 0, step: 0, index: 0 };

const createJob = (fields: Partial<JobStep> = {}): JobDefinition =>
  createJobDefinition(1, [createStep({ count: 1, ...fields })]);

describe('the crash of an endpoint', () => {
  let dispatcher: Dispatcher;
  let now: number;
  let endpointCount: number;
  let effects: DispatchEffect[];

  beforeEach(() => {
    dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    now = 0;
    endpointCount = 0;
    effects = [];
  });

  /** Starts an endpoint, which responds to a poll. */
  const startEndpoint = (): EndpointIncarnation => {
    endpointCount += 1;
    const id = toId<EndpointIncarnation>(`i-${endpointCount}`);
    dispatcher.handleEndpointProfile(createProfile(id));
    sendStatus(id);
    return id;
  };

  const sendStatus = (id: EndpointIncarnation): void => {
    dispatcher.handleStatus(createRunningStatus(dispatcher, id, now), now, now);
  };

  const startRuns = (): void => void effects.push(...startWaitingRuns(dispatcher, now));

  const sendJob = (definition: JobDefinition): void =>
    dispatcher.handleJob(definition, new JobProgress(definition), now);

  const stopEndpoint = (id: EndpointIncarnation): void => {
    dispatcher.handleEndpointUnreachable(id, now);
    now += 3000;
    dispatcher.handleIncarnationEnd(id, now);
  };

  /** Starts a run on an endpoint that becomes unreachable until its lease has expired. Returns the endpoint. */
  const startExpiredRun = (): EndpointIncarnation => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.getEndpointState(id)!.recordLease(4000);
    dispatcher.handleEndpointUnreachable(id, now);
    now = 4100;
    dispatcher.handleTick(now);
    return id;
  };

  const listCrashes = (definition: JobDefinition): readonly Pick<TaskCrash, 'endpoint' | 'blame'>[] =>
    dispatcher
      .getJob(definition.id)!
      .progress.getTask(FIRST_TASK)!
      .crashes.map(({ endpoint, blame }) => ({ endpoint, blame }));

  it('is put down to the run in its startup there, and to none whose record is not durable', () => {
    const id = startEndpoint();
    const [starting, unrecorded] = [createJob(), { ...createJob(), id: createJobDefinition(2, []).id }];
    sendJob(starting);
    startRuns();
    sendJob(unrecorded);
    dispatcher.placeWaiting(now, now);
    stopEndpoint(id);
    expect(listCrashes(starting)).toEqual([{ endpoint: id, blame: 'sole' }]);
    expect(listCrashes(unrecorded)).toEqual([]);
  });

  it('is put down to no task when the endpoint was draining', () => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.handleEndpointProfile(createProfile(id, { isDraining: true, minDrainMs: 0 }));
    stopEndpoint(id);
    expect(listCrashes(createJob())).toEqual([]);
  });

  it('is put down to its run when it fell silent before its record said that it drains, so that it had not left by plan', () => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.handleEndpointUnreachable(id, now);
    dispatcher.handleEndpointProfile(createProfile(id, { isDraining: true, minDrainMs: 1000 }));
    now += 1000;
    dispatcher.handleIncarnationEnd(id, now);
    expect(listCrashes(createJob())).toEqual([{ endpoint: id, blame: 'sole' }]);
  });

  it.each([
    ['well before the time for which it had promised to stay', 300, ['sole']],
    ['about when it could leave', 1700, []],
  ])('is put down accordingly when a draining endpoint falls silent %s', (_name, drainedMs, blames) => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.handleEndpointProfile(createProfile(id, { isDraining: true, minDrainMs: 2000 }));
    dispatcher.handleTick(now);
    now += drainedMs;
    stopEndpoint(id);
    expect(listCrashes(createJob()).map(({ blame }) => blame)).toEqual(blames);
  });

  it('is put down to no task when the record said that it drains before this leader knew it', () => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    const next = toId<EndpointIncarnation>('i-drains');
    dispatcher.handleEndpointProfile(createProfile(next, { isDraining: true, minDrainMs: 2000 }));
    sendStatus(next);
    const [run] = dispatcher.getEndpointState(id)!.getRuns();
    dispatcher.getEndpointState(next)!.addRun(run!);
    stopEndpoint(next);
    expect(listCrashes(createJob())).toEqual([]);
  });

  it('is put down to no task when the endpoint responded after its record was removed', () => {
    const id = startEndpoint();
    sendJob(createJob());
    startRuns();
    dispatcher.handleEndpointDeregistered(id);
    sendStatus(id);
    stopEndpoint(id);
    expect(listCrashes(createJob())).toEqual([]);
  });

  it('is not put down to a start that was never delivered, whose task starts elsewhere at once', () => {
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
    expect(listCrashes(createJob())).toEqual([]);
  });

  it('is unconfirmed while the endpoint is only unreachable, and its records are removed when it responds again', () => {
    const id = startExpiredRun();
    expect(listCrashes(createJob())).toEqual([{ endpoint: id, blame: 'unproved' }]);
    sendStatus(id);
    expect(listCrashes(createJob())).toEqual([]);
  });

  it('is confirmed when another incarnation responds after the lease has expired', () => {
    const id = startExpiredRun();
    expect(dispatcher.isCrashUnconfirmed(id, now)).toBe(true);
    dispatcher.handleIncarnationEnd(id, now);
    expect(listCrashes(createJob())).toEqual([{ endpoint: id, blame: 'sole' }]);
  });

  it('counts for all tasks of an earlier leader there once the next incarnation responds, after their leases have expired', () => {
    const [ended, next] = ['i-9@100', 'i-9@200'].map((name) => toId<EndpointIncarnation>(name));
    const [sound, suspect] = [createJob(), { ...createJob(), id: createJobDefinition(2, []).id }];
    for (const definition of [sound, suspect]) {
      const progress = new JobProgress(definition);
      progress.recordRunPlaced(FIRST_TASK, 1, ended!);
      if (definition === suspect) {
        progress.recordCrash(FIRST_TASK, {
          endpoint: toId<EndpointIncarnation>('i-8'),
          blame: 'sole',
          ageMs: 0,
        });
      }
      dispatcher.handleJob(definition, progress, now);
    }
    now += 5000;
    dispatcher.handleTick(now);
    expect(listCrashes(sound)).toEqual([]);
    dispatcher.handleEndpointProfile(createProfile(next!));
    sendStatus(next!);
    expect(listCrashes(sound)).toEqual([{ endpoint: ended, blame: 'present' }]);
    expect(listCrashes(suspect).map(({ endpoint }) => endpoint)).toEqual(['i-8', ended]);
  });

  it('delays the next start of its task, and of no other task of the step', () => {
    const job = createJob({ count: 2, demand: { cpuMillis: 3000, memoryMb: 100, accelerators: 0 } });
    const first = startEndpoint();
    sendJob(job);
    startRuns();
    stopEndpoint(first);
    startEndpoint();
    startRuns();
    const { progress } = dispatcher.getJob(job.id)!;
    const listPhases = (): readonly string[] => progress.listTasks(0, 0).map(({ phase }) => phase);
    expect(listPhases()).toEqual(['waiting', 'placed']);
    startEndpoint();
    now += 400;
    startRuns();
    expect(listPhases()[0]).toBe('waiting');
    now += 200;
    startRuns();
    expect(listPhases()[0]).toBe('placed');
  });

  it('fails the job of a task with two crashes, with the reason and the endpoints in the log', () => {
    for (const fields of [{}, { isLongRunning: true }, { allowsDuplicates: true }, { isGang: true }]) {
      const job = { ...createJob(fields), id: createJobDefinition(endpointCount + 1, []).id };
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
          message: 'Task failed: endpoints crashed under it.',
          fields: expect.objectContaining({
            job: job.id,
            crashes: ended.map((endpoint) => ({ endpoint, blame: 'sole', ageMs: 0 })),
          }) as unknown,
        }),
      );
    }
  });

  it('is removed from a task once a run of it has lasted much longer than the lost one', () => {
    const job = createJob({ isLongRunning: true });
    const first = startEndpoint();
    sendJob(job);
    startRuns();
    now += 700;
    sendStatus(first);
    stopEndpoint(first);
    expect(listCrashes(job)).toEqual([{ endpoint: first, blame: 'present' }]);
    const second = startEndpoint();
    startRuns();
    now += 2300;
    sendStatus(second);
    expect(listCrashes(job)).toHaveLength(1);
    now += 200;
    sendStatus(second);
    expect(listCrashes(job)).toEqual([]);
  });

  it('is stored with the progress of the job, which older records lack', () => {
    const job = createJob();
    const progress = new JobProgress(job);
    progress.recordRunPlaced(FIRST_TASK, 1, toId<EndpointIncarnation>('i-1'));
    const before = progressTexts.formatWhole(job, progress);
    expect(before).not.toContain('crashes');
    expect(parseProgress(job, { text: before })!.getTask(FIRST_TASK)!.crashes).toEqual([]);
    const crashes: readonly TaskCrash[] = [
      { endpoint: toId<EndpointIncarnation>('i-1'), blame: 'sole', ageMs: 10 },
      { endpoint: toId<EndpointIncarnation>('i-2'), blame: 'unproved', ageMs: 0 },
    ];
    crashes.forEach((crash) => progress.recordCrash(FIRST_TASK, crash));
    const after = parseProgress(job, { text: progressTexts.formatWhole(job, progress) })!;
    expect(after.getTask(FIRST_TASK)!.crashes).toEqual(crashes);
  });
});
