import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointClient } from '../packages/dispatch/endpoints/EndpointClient';
import { EndpointSessions } from '../packages/dispatch/endpoints/EndpointSessions';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { LogClient } from '../packages/store/LogClient';
import { createProfile } from './helpers/createProfile';

const ENDPOINT = toId<EndpointIncarnation>('i-0');
/** Makes timers fire a little early by the clock. */
const CLOCK_SHARE = 0.99;
const REREGISTRATION_MS = 2000;
const POLL_MS = 20;

const unhealthyEndpoint: EndpointClient = {
  sendStart: () => Promise.resolve({ kind: 'unhealthy' }),
  sendStop: () => Promise.resolve({ kind: 'unhealthy' }),
  sendPoll: () => new Promise(() => undefined),
  stop: () => Promise.resolve(),
};

/** Creates a log that returns the record of one endpoint, fails once, and then returns its removal. */
const createLog = (): LogClient => {
  let reads = 0;
  return {
    append: () => Promise.reject(new Error('not used')),
    readPageOfNewestByKey: () =>
      Promise.resolve({
        ok: true,
        value: { records: [{ offset: 0, key: ENDPOINT, value: 'here' }], endOffset: 1, hasMore: false },
      }),
    readRecords: async () => {
      reads += 1;
      if (reads === 1) {
        return { ok: false, error: { kind: 'unknown', detail: 'no answer' } };
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
      const records = reads === 2 ? [{ offset: 1, key: ENDPOINT, value: '' }] : [];
      return { ok: true, value: { records, endOffset: 2 } };
    },
    stop: () => Promise.resolve(),
  };
};

describe('a record that expired while the log was unavailable', () => {
  it('removes its endpoint when it has not come back, also when the timer fires early by the clock', async () => {
    const messages: string[] = [];
    const record = (message: string): void => void messages.push(message);
    const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    const sessions = new EndpointSessions({
      client: createLog(),
      topic: 'keyed.servers',
      clock: { getNow: () => performance.now() * CLOCK_SHARE, getWallTime: () => Date.now() },
      random: () => 0.5,
      logger: { info: record, warn: record, error: record },
      dispatcher,
      epoch: 1,
      parseEndpoint: (id) => ({ ok: true, value: createProfile(id) }),
      createEndpointClient: () => unhealthyEndpoint,
      isServiceUsed: () => true,
      canGrantLeases: () => true,
      handleStatusApplied: () => undefined,
      waitForFlush: () => Promise.resolve(),
      recordCount: () => undefined,
      handleSchedulingChange: () => undefined,
      handleNewerLeader: () => undefined,
      handleLogRecovered: () => undefined,
    });
    sessions.start();
    await new Promise((resolve) => setTimeout(resolve, REREGISTRATION_MS * 1.5));
    sessions.stop();
    expect(messages).toContain('Endpoint record expired while the log was unavailable.');
    expect(messages).toContain('Endpoint deregistered.');
  });
});
