/*
 * Guards against a sixth start of a task that has crashed five endpoints, when the end of one of them did not count as a crash: it seemed planned,
 * was never confirmed, or was cleared.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { DispatchEffect } from '../packages/dispatch/DispatchEffect';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { CrashBlame } from '../packages/jobs/CrashBlame';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { progressTexts } from '../packages/jobs/progressTexts';
import type { JobDefinition } from '../packages/jobs/JobDefinition';
import type { JobId } from '../packages/jobs/JobId';
import { JobProgress } from '../packages/jobs/JobProgress';
import type { JobState } from '../packages/jobs/JobState';
import { parseProgress } from '../packages/jobs/parseProgress';
import type { TaskProgress } from '../packages/jobs/TaskProgress';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createProfile } from './helpers/createProfile';
import { createRunningStatus } from './helpers/createRunningStatus';
import { createStep } from './helpers/createStep';
import { startWaitingRuns } from './helpers/startWaitingRuns';

const FIRST_TASK = { repetition: 0, step: 0, index: 0 };
const LEASE_MS = 4000;
const DRAIN_MS = 1000;
/** Time after the expiry of a lease in which another incarnation may confirm the crash, and more. */
const CONFIRMATION_OVER_MS = 16_000;
/** Number of crashes at which a task is not started again, whatever else was on the endpoints. */
const MAX_CRASHES = 5;

describe('the end of an endpoint that may have been a crash', () => {
  let dispatcher: Dispatcher;
  let now: number;
  let endpointCount: number;
  let effects: DispatchEffect[];
  const jobs = new Map<JobId, JobDefinition>();
  const job = createJobDefinition(1, [createStep({ count: 1 })]);

  const createLeader = (): Dispatcher =>
    new Dispatcher({ getDefinition: (id) => jobs.get(id), earlierLeasesEndAt: now + LEASE_MS });

  beforeEach(() => {
    now = 0;
    endpointCount = 0;
    effects = [];
    jobs.clear();
    dispatcher = createLeader();
    sendJob(job);
  });

  const sendJob = (definition: JobDefinition): void => {
    jobs.set(definition.id, definition);
    dispatcher.handleJob(definition, new JobProgress(definition), now);
  };

  const startEndpoint = (cpuMillis = 4000): EndpointIncarnation => {
    endpointCount += 1;
    const id = toId<EndpointIncarnation>(`i-${endpointCount}`);
    const capacity = { cpuMillis, memoryMb: 10_000, accelerators: 0 };
    dispatcher.handleEndpointProfile(createProfile(id, { capacity }));
    sendStatus(id);
    return id;
  };

  const sendStatus = (id: EndpointIncarnation): void => {
    dispatcher.handleStatus(createRunningStatus(dispatcher, id, now), now, now);
    dispatcher.getEndpointState(id)?.recordLease(now + LEASE_MS);
  };

  const startRuns = (): void => void effects.push(...startWaitingRuns(dispatcher, now));

  /** Replaces the leader by one that knows the jobs from the log, and no endpoint but `draining`. */
  const startNextLeader = (draining?: EndpointIncarnation): void => {
    const texts = [...jobs.values()].map(
      (definition) =>
        [
          definition,
          progressTexts.formatWhole(definition, dispatcher.getJob(definition.id)!.progress),
        ] as const,
    );
    dispatcher = createLeader();
    if (draining !== undefined) {
      drainEndpoint(draining);
    }
    for (const [definition, text] of texts) {
      dispatcher.handleJob(definition, parseProgress(definition, { text: text })!, now);
    }
  };

  const drainEndpoint = (id: EndpointIncarnation): void => {
    dispatcher.handleEndpointProfile(createProfile(id, { isDraining: true, minDrainMs: DRAIN_MS }));
    dispatcher.handleTick(now);
  };

  const endEndpoint = (id: EndpointIncarnation): void => {
    dispatcher.handleEndpointUnreachable(id, now);
    now += 300;
    dispatcher.handleIncarnationEnd(id, now);
  };

  const expireLease = (id: EndpointIncarnation): void => {
    dispatcher.handleEndpointUnreachable(id, now);
    now += LEASE_MS + 100;
    dispatcher.handleTick(now);
  };

  /** Makes the next unreachable endpoint part of an outage, so that no task there is to blame. */
  const startOutage = (): void => {
    dispatcher.handleEndpointUnreachable(startEndpoint(0), now);
  };

  /** Starts a run of the task on a new endpoint, and returns that. */
  const startOnNewEndpoint = (): EndpointIncarnation => {
    const id = startEndpoint();
    startRuns();
    return id;
  };

  /** Crashes an endpoint under the task in an outage. */
  const crashInOutage = (): void => {
    const id = startOnNewEndpoint();
    startOutage();
    endEndpoint(id);
    now += 3000;
  };

  const getTask = (): TaskProgress => dispatcher.getJob(job.id)!.progress.getTask(FIRST_TASK)!;
  const getState = (): JobState | undefined => dispatcher.getJob(job.id)?.progress.getState();

  /** Ends an endpoint on which the task has run for `ageMs` as another task, given up for that, begins there. */
  const endWithHarmfulTask = (ageMs: number): void => {
    const other = createJobDefinition(2, [createStep({ count: 1 })]);
    const id = startOnNewEndpoint();
    now += ageMs;
    sendStatus(id);
    sendJob(other);
    dispatcher.getJob(other.id)!.progress.recordCrash(FIRST_TASK, {
      endpoint: toId<EndpointIncarnation>('i-0'),
      blame: 'sole',
      ageMs: 0,
    });
    startRuns();
    endEndpoint(id);
    startRuns();
    expect(dispatcher.getJob(other.id)?.progress.getState() ?? 'failed').toBe('failed');
  };

  const WAYS: Readonly<Record<string, () => void>> = {
    'late in the time for which its record had promised to stay': () => {
      const id = startOnNewEndpoint();
      drainEndpoint(id);
      now += 850;
      endEndpoint(id);
    },
    'after it had said that it drains, before this leader knew it': () => {
      const id = startOnNewEndpoint();
      startNextLeader(id);
      endEndpoint(id);
    },
    'after it had responded without a record': () => {
      const id = startOnNewEndpoint();
      dispatcher.handleEndpointDeregistered(id);
      sendStatus(id);
      endEndpoint(id);
    },
    'draining, and unreachable until its lease expired': () => {
      const id = startOnNewEndpoint();
      drainEndpoint(id);
      now += 850;
      expireLease(id);
      dispatcher.handleIncarnationEnd(id, now);
    },
    'in an outage, unreachable until its lease expired, and not known to have ended': () => {
      const id = startOnNewEndpoint();
      startOutage();
      expireLease(id);
      now += CONFIRMATION_OVER_MS;
      startRuns();
    },
    'beside a likelier task, at an address that this leader does not know': () => {
      const suspect = createJobDefinition(2, [createStep({ count: 1 })]);
      sendJob(suspect);
      const id = startOnNewEndpoint();
      dispatcher.getJob(suspect.id)!.progress.recordCrash(FIRST_TASK, {
        endpoint: toId<EndpointIncarnation>('i-0'),
        blame: 'shared',
        ageMs: 0,
      });
      startNextLeader();
      now += LEASE_MS + 100;
      dispatcher.handleTick(now);
      expect(dispatcher.getEndpointState(id)).toBeUndefined();
      dispatcher.handleCancel(suspect.id, now);
    },
    'in an outage, after a poll had listed the run, right before another leader': () => {
      const id = startOnNewEndpoint();
      now += 400;
      sendStatus(id);
      startOutage();
      expireLease(id);
      startNextLeader();
    },
    'with another task, which was given up for it': () => endWithHarmfulTask(400),
  };

  it.each(Object.entries(WAYS))('counts towards the limit of five when it ended %s', (_name, endByWay) => {
    endByWay();
    now += 3000;
    expect(getTask().phase).toBe('waiting');
    for (let crashes = 1; crashes < MAX_CRASHES; crashes += 1) {
      expect(getState()).not.toBe('failed');
      crashInOutage();
    }
    startRuns();
    expect(getState() ?? 'failed').toBe('failed');
    expect(effects).toContainEqual(
      expect.objectContaining({ message: 'Task failed: endpoints crashed under it.' }),
    );
  });

  it('counts towards the limit of five also when two such ends are not confirmed yet', () => {
    for (let crashes = 1; crashes <= 3; crashes += 1) {
      crashInOutage();
    }
    for (let expiries = 1; expiries <= 2; expiries += 1) {
      const id = startOnNewEndpoint();
      now += 400;
      sendStatus(id);
      startOutage();
      expireLease(id);
    }
    startRuns();
    expect(getState() ?? 'failed').toBe('failed');
  });

  it.each([
    ['this leader', false],
    ['the next one', true],
  ])('counts no more when the endpoint responds, however late, to %s', (_name, isNextLeader) => {
    const id = startOnNewEndpoint();
    startOutage();
    expireLease(id);
    expect(getTask().unconfirmedCrashes).toHaveLength(1);
    now += CONFIRMATION_OVER_MS;
    dispatcher.placeWaiting(now, now);
    if (isNextLeader) {
      startNextLeader();
      dispatcher.handleEndpointProfile(createProfile(id));
    }
    sendStatus(id);
    expect(getTask()).toMatchObject({ crashes: [], unconfirmedCrashes: [] });
  });

  it('counts no more when a run of the task has lasted much longer', () => {
    WAYS['after it had responded without a record']!();
    expect(getTask().unconfirmedCrashes).toHaveLength(1);
    const id = startOnNewEndpoint();
    now += 1500;
    sendStatus(id);
    expect(getTask().unconfirmedCrashes).toEqual([]);
  });

  it('is not kept for a run too old to be the cause, when another task was given up for it', () => {
    endWithHarmfulTask(60_000);
    expect(getTask()).toMatchObject({ crashes: [], unconfirmedCrashes: [] });
  });

  it('is forgotten for five newer ones, so that the record of a lasting task does not grow without end', () => {
    for (let ends = 1; ends <= 8; ends += 1) {
      WAYS['after it had responded without a record']!();
      now += 3000;
    }
    const endpoints = getTask().unconfirmedCrashes.map(({ endpoint }) => endpoint);
    expect(endpoints).toEqual(['i-4', 'i-5', 'i-6', 'i-7', 'i-8']);
  });

  it('fails no task under which fewer than two endpoints are known to have crashed', () => {
    for (let ends = 1; ends <= 8; ends += 1) {
      WAYS['late in the time for which its record had promised to stay']!();
      now += 3000;
    }
    crashInOutage();
    startRuns();
    expect(getState()).toBe('running');
  });

  it('fails a job with two tasks over the limit when the crashes of only one of them are explained', () => {
    const [harmful, twofold] = [2, 3].map((number) =>
      createJobDefinition(number, [createStep({ count: number - 1 })]),
    ) as [JobDefinition, JobDefinition];
    const recordAll = (
      progress: JobProgress,
      index: number,
      blame: CrashBlame,
      endpoints: readonly string[],
    ): void =>
      endpoints.forEach((name) =>
        progress.recordCrash(
          { ...FIRST_TASK, index },
          { endpoint: toId<EndpointIncarnation>(name), blame, ageMs: 0 },
        ),
      );
    const [harmfulProgress, progress] = [new JobProgress(harmful), new JobProgress(twofold)];
    recordAll(harmfulProgress, 0, 'sole', ['i-a', 'i-b', 'i-c']);
    recordAll(progress, 0, 'present', ['i-d', 'i-e', 'i-f', 'i-g', 'i-h']);
    recordAll(progress, 1, 'shared', ['i-a', 'i-k', 'i-l', 'i-m']);
    dispatcher.handleJob(harmful, harmfulProgress, now);
    dispatcher.handleJob(twofold, progress, now);
    startOnNewEndpoint();
    expect(progress.getState()).toBe('failed');
  });

  it('is waited for while a suspect starts on a draining endpoint, since a start that is stopped would be one too many', () => {
    const suspect = createJobDefinition(2, [createStep({ count: 1, estimatedMs: 60_000 })]);
    const progress = new JobProgress(suspect);
    progress.recordCrash(FIRST_TASK, {
      endpoint: toId<EndpointIncarnation>('i-0'),
      blame: 'sole',
      ageMs: 0,
    });
    jobs.set(suspect.id, suspect);
    dispatcher.handleJob(suspect, progress, now);
    now += 1000;
    const id = startOnNewEndpoint();
    const other = startEndpoint();
    drainEndpoint(id);
    const hasStopped = (): boolean => {
      effects.push(...dispatcher.takeEffects());
      return effects.some((effect) => effect.kind === 'stop' && effect.task.startsWith(suspect.id));
    };
    expect(progress.getTask(FIRST_TASK)!.endpoint).toBe(id);
    dispatcher.handleTick(now);
    expect(hasStopped()).toBe(false);
    now += 400;
    sendStatus(id);
    sendStatus(other);
    dispatcher.handleTick(now);
    expect(hasStopped()).toBe(true);
  });
});
