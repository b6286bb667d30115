import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { toId } from '../packages/common/toId';
import { EndpointState } from '../packages/dispatch/endpoints/EndpointState';
import type { EndpointClient } from '../packages/dispatch/endpoints/EndpointClient';
import { EndpointSession } from '../packages/dispatch/endpoints/EndpointSession';
import type { PollResult } from '../packages/dispatch/endpoints/PollResult';
import type { TaskName } from '../packages/jobs/TaskName';
import { createProfile } from './helpers/createProfile';

type PollRequest = Parameters<EndpointClient['sendPoll']>[0];
type StatusHandler = ConstructorParameters<typeof EndpointSession>[0]['handleStatus'];

/** Time that the endpoint takes for each response. */
const RESPONSE_MS = 700;
/** Longer than the lease that a poll grants. */
const OUTAGE_MS = 4500;
const LEASE_MS = 4000;
const END = { number: 1, task: toId<TaskName>('0.0.0.0'), run: 1, how: 'done', checkpoint: '' } as const;

const createEndpoint = (): EndpointState => new EndpointState(createProfile('i-0'), 0, new CustomerUsage());

const createSession = (
  endpoint: EndpointState,
  sendPoll: (request: PollRequest) => Promise<PollResult>,
  handleStatus: StatusHandler,
): EndpointSession =>
  new EndpointSession({
    endpoint,
    client: {
      sendStart: () => Promise.resolve({ kind: 'done' }),
      sendStop: () => Promise.resolve({ kind: 'done' }),
      sendPoll,
      stop: () => Promise.resolve(),
    },
    clock: systemClock,
    canGrantLeases: () => true,
    handleResponse: () => true,
    handleStatus,
    handleOtherIncarnation: () => undefined,
    handleUnreachable: () => undefined,
    handleIncarnationGone: () => undefined,
    handleNewerLeader: () => undefined,
  });

describe('a session with a slow endpoint', () => {
  it('doubles the time limit after each poll without a response, until the endpoint responds', async () => {
    const limits: number[] = [];
    await new Promise<void>((resolve) => {
      const session = createSession(
        createEndpoint(),
        ({ timeoutMs }) => {
          limits.push(timeoutMs);
          return Promise.resolve(
            timeoutMs >= RESPONSE_MS
              ? { kind: 'held', running: [], ended: [] }
              : { kind: 'unanswered', detail: `no answer in ${timeoutMs} ms` },
          );
        },
        () => {
          session.stop();
          resolve();
          return Promise.resolve();
        },
      );
      void session.runPollLoop();
    });
    expect(limits).toEqual([300, 600, 1200]);
  });
});

describe('a session with a status that cannot be applied', () => {
  const ODD = toId<TaskName>('odd');
  const checkTask = (status: Parameters<StatusHandler>[0]): Promise<void> => {
    if (status.running.some(({ task }) => task === ODD)) {
      throw new Error('no such task');
    }
    return Promise.resolve();
  };
  const ODD_STATUS = {
    kind: 'held',
    running: [{ task: ODD, run: 1, checkpoint: '', percent: 0, load: 0 }],
    ended: [],
  } as const;

  it('goes on polling, and applies the next one', async () => {
    const results: PollResult[] = [ODD_STATUS, ODD_STATUS, { kind: 'held', running: [], ended: [] }];
    let appliedCount = 0;
    const session = createSession(
      createEndpoint(),
      () => Promise.resolve(results.shift() ?? { kind: 'gone' }),
      (status) => checkTask(status).then(() => void (appliedCount += 1)),
    );
    await session.runPollLoop();
    expect(appliedCount).toBe(1);
  });

  it('does not fail as an extra poll', async () => {
    const session = createSession(createEndpoint(), () => Promise.resolve(ODD_STATUS), checkTask);
    await expect(session.sendExtraPoll()).resolves.toBeUndefined();
  });
});

describe('a session with ends that are not durable yet', () => {
  it('renews the lease, acknowledges nothing, and reports each end as new once', async () => {
    const endpoint = createEndpoint();
    endpoint.recordResponse(0);
    const polls: { readonly request: PollRequest; readonly at: number }[] = [];
    const newEndCounts: number[] = [];
    let setDurable: () => void = () => undefined;
    const durable = new Promise<void>((resolve) => {
      setDurable = resolve;
    });
    const session = createSession(
      endpoint,
      (request) => {
        polls.push({ request, at: performance.now() });
        return Promise.resolve({
          kind: 'held',
          running: [],
          ended: request.acknowledgedUpTo === 0 ? [END] : [],
        });
      },
      (result, _sentAt, newEndCount) => {
        newEndCounts.push(newEndCount);
        return result.ended.length === 0 ? new Promise(() => undefined) : durable;
      },
    );
    void session.runPollLoop();
    await new Promise((resolve) => setTimeout(resolve, OUTAGE_MS));
    const during = [...polls];
    setDurable();
    await new Promise((resolve) => setTimeout(resolve, 600));
    session.stop();

    expect(during.every(({ request }) => request.acknowledgedUpTo === 0)).toBe(true);
    // The first poll only shows that the incarnation is at the other end of the connection.
    const [first, ...later] = during;
    expect(first!.request).toMatchObject({ leaseMs: undefined, isSameConnectionOnly: false });
    expect(
      later.every(({ request }) => request.leaseMs === LEASE_MS && request.isSameConnectionOnly === true),
    ).toBe(true);
    // The session spaces its polls, though the endpoint responds at once while it lists an end.
    expect(during.length).toBeGreaterThan(OUTAGE_MS / 500);
    expect(during.length).toBeLessThan(OUTAGE_MS / 300);
    expect(newEndCounts.reduce((sum, count) => sum + count, 0)).toBe(1);
    expect(polls.at(-1)?.request.acknowledgedUpTo).toBe(1);
  });
});
