import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { toId } from '../packages/common/toId';
import type { CustomerName } from '../packages/customers/CustomerName';
import type { JobCaller } from '../packages/customers/JobCaller';
import type { EndpointProfile } from '../packages/dispatch/endpoints/EndpointProfile';
import { LeaderController } from '../packages/dispatch/LeaderController';
import { formatDefinition } from '../packages/jobs/formatDefinition';
import { jobKeys } from '../packages/jobs/jobKeys';
import { JobReplica } from '../packages/jobs/JobReplica';
import { BoxJobService } from '../packages/serve/BoxJobService';
import { JobRecords } from '../packages/serve/JobRecords';
import type { LoadAdmission } from '../packages/serve/LoadAdmission';
import { ServeMetrics } from '../packages/serve/ServeMetrics';
import type { LogFollower } from '../packages/store/LogFollower';
import type { LogWrite } from '../packages/store/LogWrite';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createLeaderOptions } from './helpers/createLeaderOptions';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';
import { MemoryLog } from './helpers/MemoryLog';
import { TimedEndpoint } from './helpers/TimedEndpoint';

const TASKS = 40;
const RUN_MS = 50;
const PAUSE_MS = 40;
/** Longer than any run, and than the takeover. */
const SETTLED_MS = 1000;
const DEFINITION = createJobDefinition(1, [createStep({ count: TASKS, estimatedMs: RUN_MS })]);
const CALLER = { queue: DEFINITION.queue.name, isOpen: true };
const RECORDS = {
  job: { key: jobKeys.toDefinitionKey(DEFINITION.id), value: formatDefinition(DEFINITION) },
  cancel: { key: jobKeys.toCancelKey(DEFINITION.id), value: '1' },
  earlyCancel: { key: jobKeys.toEarlyCancelKey(DEFINITION.id, CALLER), value: JSON.stringify(CALLER) },
  removal: { key: jobKeys.toDefinitionKey(DEFINITION.id), value: '' },
} as const;

/** Ways by which a box learns of the records of a job and of its cancellation. */
const deliveries = {
  readJob: (records: JobRecords) => records.applyRecords([RECORDS.job]),
  readCancel: (records: JobRecords) => records.applyRecords([RECORDS.cancel]),
  acceptJob: (records: JobRecords) => records.applyAcceptedJob(DEFINITION),
  acceptCancel: (records: JobRecords) => records.applyCancelledJob(DEFINITION.id),
  readBoth: (records: JobRecords) => records.applyRecords([RECORDS.job, RECORDS.cancel]),
  readEarlyCancel: (records: JobRecords) => records.applyRecords([RECORDS.earlyCancel]),
  acceptEarlyCancel: (records: JobRecords) => records.applyEarlyCancel(DEFINITION.id, CALLER),
  readRemoval: (records: JobRecords) => records.applyRecords([RECORDS.removal]),
  readBothReversed: (records: JobRecords) => records.applyRecords([RECORDS.cancel, RECORDS.job]),
} as const;

type Step = keyof typeof deliveries | 'startLeader' | 'pause';

/** Plays deliveries around the takeover of a leader; returns its view at the end, and the starts since both records were known. */
const runSteps = async (steps: readonly Step[]) => {
  const replica = new JobReplica();
  const log = new MemoryLog(() => 0.5);
  const endpoint = new TimedEndpoint(RUN_MS);
  log.writeRecord('keyed.servers', 'i-0', JSON.stringify(createProfile('i-0')));
  const controller = new LeaderController(
    createLeaderOptions(log, {
      replica,
      parseEndpoint: (_id, text) => ({ ok: true, value: JSON.parse(text) as EndpointProfile }),
      createEndpointClient: () => endpoint,
    }),
  );
  let isLeading = false;
  const records = new JobRecords({
    replica,
    logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
    getLeader: () => (isLeading ? controller : undefined),
  });
  let knownAt: number | undefined;
  for (const step of steps) {
    if (step === 'startLeader') {
      isLeading = true;
      controller.start();
    } else if (step === 'pause') {
      await vi.advanceTimersByTimeAsync(PAUSE_MS);
    } else {
      deliveries[step](records);
    }
    const isKnown = replica.getDefinition(DEFINITION.id) !== undefined && replica.isCancelled(DEFINITION.id);
    knownAt ??= isKnown ? performance.now() : undefined;
  }
  await vi.advanceTimersByTimeAsync(SETTLED_MS);
  const job = controller.getDispatcher().getJob(DEFINITION.id);
  controller.stop();
  return {
    isOpen: job !== undefined && !job.progress.isEnded(),
    state: replica.getState(DEFINITION.id),
    pending: replica.countPending(DEFINITION.queue.name),
    startsAfterwards: endpoint.starts.filter(({ at }) => at > (knownAt ?? Infinity)).length,
    starts: endpoint.starts.length,
  };
};

const CANCELLED = { isOpen: false, state: 'cancelled', pending: 0, startsAfterwards: 0 };

describe('a cancelled job', () => {
  beforeEach(() => void vi.useFakeTimers({ now: 0 }));
  afterEach(() => void vi.useRealTimers());

  it('is not run by a leader that read the cancellation before the job', async () => {
    const result = await runSteps(['startLeader', ...Array<Step>(10).fill('pause'), 'readCancel', 'readJob']);
    expect(result).toEqual({ ...CANCELLED, starts: 0 });
  });

  it('is not run when its definition is removed after the cancellation and read again', async () => {
    const steps: readonly Step[] = ['startLeader', ...Array<Step>(10).fill('pause')];
    const result = await runSteps([...steps, 'readCancel', 'readRemoval', 'readJob']);
    expect(result).toEqual({ ...CANCELLED, starts: 0 });
  });

  it('is not run on after its two records came to the leader, in any order and by any ways', async () => {
    const arbitraryDelivery = fc.constantFrom(...(Object.keys(deliveries) as Step[]));
    const arbitraryStep = fc.oneof(arbitraryDelivery, fc.constant<Step>('pause'));
    const arbitrarySteps = fc
      .tuple(
        fc.array(arbitraryStep, { maxLength: 12 }),
        fc.array(arbitraryStep, { maxLength: 12 }),
        fc.constantFrom<readonly Step[]>(['readJob', 'readCancel'], ['readCancel', 'readJob']),
      )
      .map(([before, after, last]): readonly Step[] => [...before, 'startLeader', ...after, ...last]);
    let startCount = 0;
    await fc.assert(
      fc.asyncProperty(arbitrarySteps, async (steps) => {
        const { starts, ...result } = await runSteps(steps);
        expect(result).toEqual(CANCELLED);
        startCount += starts;
      }),
      { seed: 59, numRuns: 150 },
    );
    expect(startCount).toBeGreaterThan(0);
  });
});

describe('a job whose cancellation was answered before its own write was completed', () => {
  const LIMIT = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
  const OWNED = {
    ...DEFINITION,
    customer: { name: toId<CustomerName>('customer-a'), weight: 1, limit: LIMIT },
  };
  const OWNER = { queue: 'jobs', isOpen: false, customer: OWNED.customer.name };
  const OTHER = { queue: 'jobs', isOpen: false, customer: toId<CustomerName>('customer-b') };

  /** Cancels a job at a box that does not know it, and returns the answers and the written records. */
  const runCancels = async (callers: readonly JobCaller[]) => {
    const writes: LogWrite[] = [];
    const replica = new JobReplica();
    const logger = { info: () => undefined, warn: () => undefined, error: () => undefined };
    const records = new JobRecords({ replica, logger, getLeader: () => undefined });
    const follower = {
      waitForRefresh: () => Promise.resolve(true),
      getOffset: () => 0,
    } as unknown as LogFollower;
    const service = new BoxJobService({
      replica,
      writer: {
        writeRecord: (write) => {
          writes.push(write);
          return Promise.resolve('written');
        },
        getOutageMs: () => 0,
      },
      jobsFollower: follower,
      statesFollower: follower,
      clock: systemClock,
      logger,
      metrics: new ServeMetrics(),
      admission: {} as LoadAdmission,
      isLogReadable: () => true,
      isLeading: () => false,
      getConfigurationVersion: () => undefined,
      requestLeaderState: () => Promise.resolve(undefined),
      handleJobAccepted: (definition) => records.applyAcceptedJob(definition),
      handleJobCancelled: (id) => records.applyCancelledJob(id),
      handleUnknownJobCancelled: (id, caller) => records.applyEarlyCancel(id, caller),
    });
    const answers = [];
    for (const caller of callers) {
      answers.push(await service.cancelJob(OWNED.id, caller, systemClock.getNow() + 1000));
    }
    return { answers, writes, records, replica };
  };

  const LATE_WRITE = { key: jobKeys.toDefinitionKey(OWNED.id), value: formatDefinition(OWNED) };
  const ABSENT = { kind: 'answered', answer: 'absent' };

  it('is cancelled when the write completes, at this box and at one that reads the records', async () => {
    const { answers, writes, records, replica } = await runCancels([OWNER]);
    expect(answers).toEqual([ABSENT]);
    records.applyRecords([LATE_WRITE]);
    expect(replica.getState(OWNED.id)).toBe('cancelled');
    const other = new JobReplica();
    other.foldJobRecords([...writes, LATE_WRITE]);
    expect(other.isCancelled(OWNED.id)).toBe(true);
  });

  it('is not cancelled by a caller without access to it, whose answer does not tell whether it exists', async () => {
    const { answers, replica, records } = await runCancels([OTHER]);
    expect(answers).toEqual([ABSENT]);
    records.applyRecords([LATE_WRITE]);
    expect(replica.getState(OWNED.id)).toBe('queued');
  });

  it('stays cancelled for its owner when another caller cancels the same id later', async () => {
    const { writes } = await runCancels([OWNER, OTHER]);
    const newestByKey = new Map([...writes, LATE_WRITE].map((write) => [write.key, write]));
    const replica = new JobReplica();
    replica.foldJobRecords([...newestByKey.values()].reverse());
    expect(replica.isCancelled(OWNED.id)).toBe(true);
  });
});
