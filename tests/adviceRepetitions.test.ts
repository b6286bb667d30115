/*
 * Guards against a long advice request that is late and takes the channel reserved for short ones although another works, and against one that is sent
 * over one lost box after the other.
 */
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { toId } from '../packages/common/toId';
import type { AdviceChannel } from '../packages/dispatch/advice/AdviceChannel';
import { FirstFreeBalancer } from '../packages/dispatch/advice/FirstFreeBalancer';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';

const RESPONSE_MS = 600;
/** Time from a request to its repetition, and some more. */
const REPEATED_MS = 1100;
const STEP_MS = 10;

let sentOver: string[];
let lostBoxes: Set<string>;
let balancer: FirstFreeBalancer;

const createChannel = (box: string): AdviceChannel => ({
  box,
  isOwnBox: box === 'own',
  isReachable: () => true,
  client: {
    requestAdvice: async (_step, _endpoints, timeoutMs) => {
      sentOver.push(box);
      const isLost = lostBoxes.has(box);
      await new Promise((resolve) => setTimeout(resolve, isLost ? timeoutMs : RESPONSE_MS));
      return isLost ? undefined : new Map();
    },
    stop: () => Promise.resolve(),
  },
});

const startRequest = (step: string, isLongRequest: boolean): void =>
  void balancer.sendRequest({
    kind: 'advise',
    step,
    candidates: [toId<EndpointIncarnation>('i-0')],
    expectedResponseMs: RESPONSE_MS,
    isLongRequest,
    adviceReason: 'first',
  });

/** Lets time pass in steps, between which the event loop turns. */
const runFor = async (ms: number): Promise<void> => {
  for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
    await vi.advanceTimersByTimeAsync(STEP_MS);
  }
};

beforeEach(() => {
  vi.useFakeTimers({ now: 0 });
  sentOver = [];
  lostBoxes = new Set();
  const channels = ['own', 'a', 'b', 'c'].map(createChannel);
  balancer = new FirstFreeBalancer({
    clock: { getNow: () => Date.now(), getWallTime: () => Date.now() },
    listChannels: () => channels,
    handleResponse: () => undefined,
  });
});

afterEach(() => {
  balancer.stop();
  vi.useRealTimers();
});

describe('a long request whose response is late', () => {
  it('is repeated over another box that has responded since, and not over the own one', async () => {
    lostBoxes.add('a');
    startRequest('first', true);
    await runFor(100);
    startRequest('second', true);
    await runFor(50);
    startRequest('short', false);
    await runFor(REPEATED_MS - 150);
    expect(sentOver).toEqual(['a', 'b', 'own', 'b']);
  });

  it('is repeated over the own box when no other has responded since', async () => {
    lostBoxes = new Set(['a', 'b', 'c']);
    startRequest('first', true);
    await runFor(REPEATED_MS);
    expect(sentOver).toEqual(['a', 'own']);
  });
});
