import { describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import { waitForDelay } from '../packages/common/waitForDelay';
import { Dispatcher } from '../packages/dispatch/Dispatcher';
import type { EndpointClient } from '../packages/dispatch/endpoints/EndpointClient';
import { EndpointSessions } from '../packages/dispatch/endpoints/EndpointSessions';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import type { LogClient } from '../packages/store/LogClient';
import type { LogRecord } from '../packages/store/LogRecord';
import { createProfile } from './helpers/createProfile';

const KEPT = toId<EndpointIncarnation>('i-kept');
const DELETED = toId<EndpointIncarnation>('i-deleted');
/** Covers the retry after the gap and the time in which an endpoint may register again. */
const SETTLE_MS = 3500;
const POLL_MS = 50;

const respondingEndpoint: EndpointClient = {
  sendStart: () => Promise.resolve({ kind: 'done' }),
  sendStop: () => Promise.resolve({ kind: 'done' }),
  sendPoll: async () => {
    await waitForDelay(POLL_MS);
    return { kind: 'held', running: [], ended: [] };
  },
  stop: () => Promise.resolve(),
};

const createRecords = (...keys: readonly string[]): readonly LogRecord[] =>
  keys.map((key, offset) => ({ offset, key, value: 'here' }));

interface DroppingLog {
  readonly client: LogClient;
  /** Deletes one of the two records, and drops the history before the deletion is read. */
  readonly deleteAndDrop: () => void;
}

const createLog = (): DroppingLog => {
  let isDeleted = false;
  let isGapPending = false;
  const client: LogClient = {
    append: () => Promise.reject(new Error('not used')),
    readPageOfNewestByKey: () => {
      const records = isDeleted ? createRecords(KEPT) : createRecords(DELETED, KEPT);
      return Promise.resolve({ ok: true, value: { records, endOffset: isDeleted ? 3 : 2, hasMore: false } });
    },
    readRecords: async () => {
      await waitForDelay(POLL_MS);
      if (isGapPending) {
        isGapPending = false;
        return { ok: false, error: { kind: 'forgotten', firstOffset: 3 } };
      }
      return { ok: true, value: { records: [], endOffset: isDeleted ? 3 : 2 } };
    },
    stop: () => Promise.resolve(),
  };
  return {
    client,
    deleteAndDrop: () => {
      isDeleted = true;
      isGapPending = true;
    },
  };
};

describe('an endpoint whose record was deleted in a part of the log that was dropped before it was read', () => {
  it('gets no new runs', async () => {
    const { client, deleteAndDrop } = createLog();
    const dispatcher = new Dispatcher({ getDefinition: () => undefined, earlierLeasesEndAt: 0 });
    const sessions = new EndpointSessions({
      client,
      topic: 'keyed.servers',
      clock: { getNow: () => performance.now(), getWallTime: () => Date.now() },
      random: () => 0.5,
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      dispatcher,
      epoch: 1,
      parseEndpoint: (id) => ({ ok: true, value: createProfile(id) }),
      createEndpointClient: () => respondingEndpoint,
      isServiceUsed: () => true,
      canGrantLeases: () => true,
      handleStatusApplied: () => undefined,
      waitForFlush: () => Promise.resolve(),
      recordCount: () => undefined,
      handleSchedulingChange: () => undefined,
      handleNewerLeader: () => undefined,
      handleLogRecovered: () => undefined,
    });
    const listSchedulable = (): readonly boolean[] =>
      [KEPT, DELETED].map((id) => dispatcher.getEndpointState(id)?.isSchedulable() ?? false);
    sessions.start();
    await waitForDelay(POLL_MS);
    await sessions.startSessions();
    await waitForDelay(4 * POLL_MS);
    expect(listSchedulable()).toEqual([true, true]);
    deleteAndDrop();
    await waitForDelay(SETTLE_MS);
    sessions.stop();
    expect(listSchedulable()).toEqual([true, false]);
  });
});
