import { afterEach, describe, expect, it } from 'vitest';
import { TimeSlices } from '../packages/common/TimeSlices';
import { LeaderController } from '../packages/dispatch/LeaderController';
import { JobReplica } from '../packages/jobs/JobReplica';
import type { LogClient } from '../packages/store/LogClient';
import { createJobDefinition } from './helpers/createJobDefinition';
import { createLeaderOptions } from './helpers/createLeaderOptions';
import { createStep } from './helpers/createStep';

const JOBS = 20;
/** Longer than a slice, so that the event loop gets a turn after each job. */
const CLOCK_STEP_MS = 60;
const TURNS = 200;

describe('a takeover', () => {
  let leader: LeaderController | undefined;

  afterEach(() => leader?.stop());

  const client: LogClient = {
    append: () => Promise.resolve({ ok: true, value: 0 }),
    readPageOfNewestByKey: () =>
      Promise.resolve({ ok: true, value: { records: [], endOffset: 0, hasMore: false } }),
    readRecords: () => new Promise(() => undefined),
    stop: () => Promise.resolve(),
  };

  /** Starts a leader that knows some jobs, calls `handleTurn` in each turn of the event loop, and returns the number of jobs it takes over. */
  const countJobsTakenOver = async (
    replica: JobReplica,
    handleTurn: (leader: LeaderController, turn: number) => void,
  ): Promise<number | undefined> => {
    let now = 0;
    let jobCount: number | undefined;
    leader = new LeaderController(
      createLeaderOptions(client, {
        replica,
        clock: { getNow: () => (now += CLOCK_STEP_MS), getWallTime: () => now, getMaxElapsedSince: () => 0 },
        logger: {
          info: (message, fields) => {
            jobCount = message === 'Leading.' ? Number(fields?.['jobs']) : jobCount;
          },
          warn: () => undefined,
          error: () => undefined,
        },
      }),
    );
    leader.start();
    for (let turn = 0; turn < TURNS && jobCount === undefined; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      handleTurn(leader, turn);
    }
    return jobCount;
  };

  const createReplica = (): JobReplica => {
    const replica = new JobReplica();
    for (let number = 1; number <= JOBS; number += 1) {
      replica.recordDefinition(createJobDefinition(number, [createStep({ count: 1 })]));
    }
    return replica;
  };

  it('misses no job that is accepted while it goes on', async () => {
    const replica = createReplica();
    const countDuring = await countJobsTakenOver(replica, (controller, turn) => {
      const definition = createJobDefinition(JOBS + 1 + turn, [createStep({ count: 1 })]);
      if (turn < JOBS && replica.recordDefinition(definition)) {
        controller.handleJob(definition);
      }
    });
    expect(countDuring).toBeGreaterThan(JOBS + 1);
    expect(countDuring).toBe(replica.listDefinitionsInOrder().length);
  });

  it('is not completed once the leader has stopped', async () => {
    const count = await countJobsTakenOver(createReplica(), (controller, turn) => {
      if (turn === 5) {
        controller.stop();
      }
    });
    expect(count).toBeUndefined();
  });

  it('leaves the event loop to heartbeats when a slice of its work is used up', async () => {
    let now = 0;
    let hasTurned = false;
    const slices = new TimeSlices({ getNow: () => now, getWallTime: () => now });
    setImmediate(() => (hasTurned = true));
    now += 25;
    await slices.waitWhenUsedUp();
    expect(hasTurned).toBe(false);
    now += 25;
    await slices.waitWhenUsedUp();
    expect(hasTurned).toBe(true);
  });
});
