import { afterEach, describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { toId } from '../packages/common/toId';
import { formatDefinition } from '../packages/jobs/formatDefinition';
import type { JobId } from '../packages/jobs/JobId';
import { jobKeys } from '../packages/jobs/jobKeys';
import { JobReplica } from '../packages/jobs/JobReplica';
import { BoxJobService } from '../packages/serve/BoxJobService';
import { ServeMetrics } from '../packages/serve/ServeMetrics';
import type { LoadAdmission } from '../packages/serve/LoadAdmission';
import type { LogClient } from '../packages/store/LogClient';
import { LogFollower } from '../packages/store/LogFollower';
import type { LogRecord } from '../packages/store/LogRecord';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createStep } from './helpers/createStep';

const PAUSE_MS = 1000;
const JOBS = 3;

describe('the state of a job that a box does not know', () => {
  const followers: LogFollower[] = [];

  afterEach(() => followers.splice(0).forEach((follower) => follower.stop()));

  /** Creates a log that returns one record a read, as a log with a limited response size does. */
  const createLog = (records: readonly LogRecord[]): LogClient => ({
    append: () => Promise.reject(new Error('not used')),
    readPageOfNewestByKey: () =>
      Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
    readRecords: ({ fromOffset }) =>
      Promise.resolve({
        ok: true,
        value: { records: records.slice(fromOffset, fromOffset + 1), endOffset: records.length },
      }),
    stop: () => Promise.resolve(),
  });

  /** Creates the job service of a box that has begun to read its topics, and cannot reach the leader. */
  const startService = async (jobsLog: LogClient): Promise<BoxJobService> => {
    const replica = new JobReplica();
    const startFollower = (client: LogClient): LogFollower => {
      const follower = new LogFollower({
        logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
        client,
        topic: 'keyed.jobs',
        clock: systemClock,
        random: () => 0.5,
        pauseMs: PAUSE_MS,
        pollWaitMs: PAUSE_MS,
        handleRecords: (pending) => void replica.foldJobRecords(pending),
      });
      followers.push(follower);
      void follower.start();
      return follower;
    };
    const service = new BoxJobService({
      replica,
      writer: { writeRecord: () => Promise.resolve('refused'), getOutageMs: () => 0 },
      jobsFollower: startFollower(jobsLog),
      statesFollower: startFollower(createLog([])),
      clock: systemClock,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      metrics: new ServeMetrics(),
      admission: {} as LoadAdmission,
      isLogReadable: () => true,
      isLeading: () => false,
      getConfigurationVersion: () => undefined,
      requestLeaderState: () => Promise.resolve(undefined),
      handleJobAccepted: () => undefined,
      handleJobCancelled: () => undefined,
      handleUnknownJobCancelled: () => undefined,
    });
    await new Promise((resolve) => setTimeout(resolve, 20));
    return service;
  };

  it('is found in the log behind more records than one response holds', async () => {
    const records: LogRecord[] = [];
    const service = await startService(createLog(records));
    for (let number = 0; number < JOBS; number += 1) {
      const definition = createJobDefinition(number, [createStep()]);
      const key = jobKeys.toDefinitionKey(definition.id);
      records.push({ offset: number, key, value: formatDefinition(definition) });
    }
    const caller = { queue: 'jobs', isOpen: true };
    const last = createJobDefinition(JOBS - 1, []).id;
    const deadline = systemClock.getNow() + 1000;
    expect(await service.getJobState(last, caller, deadline)).toEqual({ kind: 'answered', answer: 'queued' });
    const unknown = toId<JobId>('f'.repeat(16));
    expect(await service.getJobState(unknown, caller, deadline)).toEqual({
      kind: 'answered',
      answer: 'absent',
    });
  });

  it('is missing from no count of pending jobs when it was accepted while the box read all jobs in pages', async () => {
    const keys = [1, 2, 3].map((number) => jobKeys.toDefinitionKey(createJobDefinition(number, []).id));
    const records = [1, 2, 3].map((number, offset) => ({
      offset,
      key: keys[offset]!,
      value: formatDefinition(createJobDefinition(number, [createStep()])),
    }));
    const catchUp = { start: (): void => undefined };
    const isCatchingUp = new Promise<void>((resolve) => (catchUp.start = resolve));
    const log: LogClient = {
      ...createLog([]),
      // The second job is written after the first page, whose key it precedes.
      readPageOfNewestByKey: ({ afterKey }) => {
        const value =
          afterKey === undefined
            ? { records: [records[0]!], endOffset: 1, hasMore: true }
            : { records: [records[2]!], endOffset: 3, hasMore: false };
        return Promise.resolve({ ok: true, value });
      },
      readRecords: async ({ fromOffset }) => {
        await isCatchingUp;
        return { ok: true, value: { records: records.slice(fromOffset), endOffset: 3 } };
      },
    };
    const service = await startService(log);
    expect(service.countPendingJobs('jobs')).toMatchObject({ kind: 'unavailable' });
    catchUp.start();
    await expect
      .poll(() => service.countPendingJobs('jobs'))
      .toEqual({ kind: 'answered', answer: records.length });
  });
});
