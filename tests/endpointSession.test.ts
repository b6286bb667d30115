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

type HoldRequest = Parameters<EndpointClient['sendPoll']>[0];
type HeldHandler = ConstructorParameters<typeof EndpointSession>[0]['handleStatus'];

/** An endpoint takes so long for each answer. */
const ANSWER_MS = 700;
/** Longer than the lease that a look gives. */
const OUTAGE_MS = 4500;
const LEASE_MS = 4000;
const END = { number: 1, task: toId<TaskName>('0.0.0.0'), run: 1, how: 'done', checkpoint: '' } as const;

const createBook = (): EndpointState => new EndpointState(createProfile('i-0'), 0, new CustomerUsage());

const createSession = (
  book: EndpointState,
  sendHold: (request: HoldRequest) => Promise<PollResult>,
  handleHeld: HeldHandler,
): EndpointSession =>
  new EndpointSession({
    endpoint: book,
    client: {
      sendStart: () => Promise.resolve({ kind: 'done' }),
      sendStop: () => Promise.resolve({ kind: 'done' }),
      sendPoll: sendHold,
      stop: () => Promise.resolve(),
    },
    clock: systemClock,
    isRenewing: () => true,
    handleResponse: () => true,
    handleStatus: handleHeld,
    handleOtherIncarnation: () => undefined,
    handleUnreachable: () => undefined,
    handleGone: () => undefined,
    handleFenced: () => undefined,
  });

describe('the session with a slow endpoint', () => {
  it('waits longer after each look without an answer, so that the endpoint is heard in the end', async () => {
    const limits: number[] = [];
    await new Promise<void>((resolve) => {
      const session = createSession(
        createBook(),
        ({ timeoutMs }) => {
          limits.push(timeoutMs);
          return Promise.resolve(
            timeoutMs >= ANSWER_MS
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
      void session.run();
    });
    expect(limits).toEqual([300, 600, 1200]);
  });
});

describe('the session with an endpoint whose end is not durable yet', () => {
  it('goes on renewing the lease, acknowledges nothing before, and tells the end once', async () => {
    const book = createBook();
    book.recordResponse(0);
    const looks: { readonly request: HoldRequest; readonly at: number }[] = [];
    const newEnds: number[] = [];
    let startDurable: () => void = () => undefined;
    const durable = new Promise<void>((resolve) => {
      startDurable = resolve;
    });
    const session = createSession(
      book,
      (request) => {
        looks.push({ request, at: performance.now() });
        return Promise.resolve({
          kind: 'held',

          running: [],
          ended: request.lastSeen === 0 ? [END] : [],
        });
      },
      (answer, _sentAt, newEndCount) => {
        newEnds.push(newEndCount);
        return answer.ended.length === 0 ? new Promise(() => undefined) : durable;
      },
    );
    void session.run();
    await new Promise((resolve) => setTimeout(resolve, OUTAGE_MS));
    const during = [...looks];
    startDurable();
    await new Promise((resolve) => setTimeout(resolve, 600));
    session.stop();

    expect(during.every(({ request }) => request.lastSeen === 0)).toBe(true);
    expect(during.every(({ request }) => request.leaseMs === LEASE_MS)).toBe(true);
    // About as many as without an end to wait for: the endpoint answers at once as long as it has one.
    expect(during.length).toBeGreaterThan(OUTAGE_MS / 500);
    expect(during.length).toBeLessThan(OUTAGE_MS / 300);
    expect(newEnds.reduce((sum, count) => sum + count, 0)).toBe(1);
    expect(looks.at(-1)?.request.lastSeen).toBe(1);
  });
});
