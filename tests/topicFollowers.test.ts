import { afterEach, describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { TopicFollowers } from '../packages/serve/TopicFollowers';
import { topics } from '../packages/serve/topics';
import type { LogRecord } from '../packages/store/LogRecord';
import { MemoryLog } from './helpers/MemoryLog';

const TIMEOUT_MS = 150;

describe('a check of the log for another box', () => {
  let followers: TopicFollowers | undefined;

  afterEach(() => followers?.stop());

  const startFollowers = async (
    log: MemoryLog,
  ): Promise<{ readonly followers: TopicFollowers; readonly states: LogRecord[] }> => {
    const states: LogRecord[] = [];
    const started = new TopicFollowers({
      logClient: log,
      operatorTopic: 'keyed.op',
      clock: systemClock,
      random: () => 0.5,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      handleJobRecords: () => undefined,
      handleStateRecords: (records) => states.push(...records),
      handleOperatorRecords: () => undefined,
      handleStatesConnection: () => undefined,
      handleLogRecovered: () => undefined,
    });
    followers = started;
    started.startNextFollower();
    while (started.jobs.getOffset() === undefined) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    return { followers: started, states };
  };

  it('does not make a leader read the states that it has written itself', async () => {
    const log = new MemoryLog(() => 0.5);
    const { followers: led, states } = await startFollowers(log);
    led.startLeading();
    log.writeRecord(topics.states, 's/1', 'running');
    // The long poll that was pending at the election may still bring one state.
    await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS));
    log.writeRecord(topics.states, 's/1', 'completed');
    expect(await led.waitForLogRead(true, TIMEOUT_MS)).toBe(true);
    expect(states.map(({ value }) => value)).not.toContain('completed');
  });

  it('reads the states of the leader on another box', async () => {
    const log = new MemoryLog(() => 0.5);
    const { followers: led, states } = await startFollowers(log);
    log.writeRecord(topics.states, 's/1', 'running');
    expect(await led.waitForLogRead(false, TIMEOUT_MS)).toBe(true);
    expect(states.map(({ value }) => value)).toContain('running');
  });
});
