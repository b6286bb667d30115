import { afterEach, describe, expect, it } from 'vitest';
import { LeaderController } from '../packages/dispatch/LeaderController';
import type { LogClient } from '../packages/store/LogClient';
import { createLeaderOptions } from './helpers/createLeaderOptions';

const STATES_TOPIC = 'keyed.states';
/** Longer than the interval of heartbeats, as on a box with little processor time. */
const SLOW_CLAIM_MS = 770;
/** Shorter than the leader's tick. */
const PROMPT_MS = 60;

describe('a new leader', () => {
  let leader: LeaderController | undefined;

  afterEach(() => leader?.stop());

  /** Starts a leader whose claim was sent `claimAgeMs` ago, and returns the states that it has written promptly. */
  const startLeader = async (claimAgeMs: number): Promise<readonly string[]> => {
    const written: string[] = [];
    const client: LogClient = {
      append: ({ topic, writes }) => {
        written.push(...(topic === STATES_TOPIC ? writes.map(({ value }) => value) : []));
        return new Promise(() => undefined);
      },
      readPageOfNewestByKey: () => new Promise(() => undefined),
      readRecords: () => new Promise(() => undefined),
      stop: () => Promise.resolve(),
    };
    leader = new LeaderController(
      createLeaderOptions(client, {
        claimedAt: performance.now() - claimAgeMs,
        updateReplica: () => new Promise(() => undefined),
      }),
    );
    leader.start();
    await new Promise((resolve) => setTimeout(resolve, PROMPT_MS));
    return written;
  };

  it('sends a heartbeat before it reads the topics when its claim took long, so that it is not replaced at once', async () => {
    expect(await startLeader(SLOW_CLAIM_MS)).toEqual(['heartbeat']);
  });

  it('sends no heartbeat when its claim has just been written', async () => {
    expect(await startLeader(0)).toEqual([]);
  });
});
