import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { EndpointClient } from '../packages/dispatch/endpoints/EndpointClient';
import type { EndedTaskStatus } from '../packages/dispatch/endpoints/EndedTaskStatus';
import type { EndpointProfile } from '../packages/dispatch/endpoints/EndpointProfile';
import { LeaderController } from '../packages/dispatch/LeaderController';
import { formatDefinition } from '../packages/jobs/formatDefinition';
import { jobKeys } from '../packages/jobs/jobKeys';
import { JobReplica } from '../packages/jobs/JobReplica';
import type { TaskName } from '../packages/jobs/TaskName';
import { JobRecords } from '../packages/serve/JobRecords';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createLeaderOptions } from './helpers/createLeaderOptions';
import { createProfile } from './helpers/createProfile';
import { createStep } from './helpers/createStep';
import { MemoryLog } from './helpers/MemoryLog';

const TASKS = 40;
const RUN_MS = 50;
const PAUSE_MS = 40;
const POLL_MS = 10;
/** Longer than any run, and than the takeover. */
const SETTLED_MS = 1000;
const DEFINITION = createJobDefinition(1, [createStep({ count: TASKS, estimatedMs: RUN_MS })]);
const RECORDS = {
  job: { key: jobKeys.toDefinitionKey(DEFINITION.id), value: formatDefinition(DEFINITION) },
  cancel: { key: jobKeys.toCancelKey(DEFINITION.id), value: '1' },
  removal: { key: jobKeys.toDefinitionKey(DEFINITION.id), value: '' },
} as const;

/** An endpoint whose runs take `RUN_MS`. */
class Endpoint implements EndpointClient {
  readonly startTimes: number[] = [];
  private readonly runs = new Map<TaskName, { readonly run: number; readonly endsAt: number }>();
  private readonly ended: EndedTaskStatus[] = [];

  async sendStart({
    task,
    run,
  }: Parameters<EndpointClient['sendStart']>[0]): ReturnType<EndpointClient['sendStart']> {
    this.startTimes.push(performance.now());
    this.runs.set(task, { run, endsAt: performance.now() + RUN_MS });
    return Promise.resolve({ kind: 'done' });
  }

  async sendStop(task: TaskName): ReturnType<EndpointClient['sendStop']> {
    this.runs.delete(task);
    return Promise.resolve({ kind: 'done' });
  }

  async sendPoll(): ReturnType<EndpointClient['sendPoll']> {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    for (const [task, { run, endsAt }] of this.runs) {
      if (endsAt <= performance.now()) {
        this.runs.delete(task);
        this.ended.push({ number: this.ended.length + 1, task, run, how: 'done', checkpoint: '' });
      }
    }
    const running = [...this.runs].map(([task, { run }]) => ({
      task,
      run,
      checkpoint: '',
      percent: 1,
      load: 0,
    }));
    return { kind: 'held', running, ended: [...this.ended] };
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** Ways by which a box learns of the records of a job and of its cancellation. */
const deliveries = {
  readJob: (records: JobRecords) => records.applyRecords([RECORDS.job]),
  readCancel: (records: JobRecords) => records.applyRecords([RECORDS.cancel]),
  acceptJob: (records: JobRecords) => records.applyAcceptedJob(DEFINITION),
  acceptCancel: (records: JobRecords) => records.applyCancelledJob(DEFINITION.id),
  readBoth: (records: JobRecords) => records.applyRecords([RECORDS.job, RECORDS.cancel]),
  readRemoval: (records: JobRecords) => records.applyRecords([RECORDS.removal]),
  readBothReversed: (records: JobRecords) => records.applyRecords([RECORDS.cancel, RECORDS.job]),
} as const;

type Step = keyof typeof deliveries | 'startLeader' | 'pause';

/** Plays deliveries around the takeover of a leader; returns its view at the end, and the starts since both records were known. */
const runSteps = async (steps: readonly Step[]) => {
  const replica = new JobReplica();
  const log = new MemoryLog(() => 0.5);
  const endpoint = new Endpoint();
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
    startsAfterwards: endpoint.startTimes.filter((at) => at > (knownAt ?? Infinity)).length,
    starts: endpoint.startTimes.length,
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
