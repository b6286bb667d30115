import { describe, expect, it } from 'vitest';
import { systemClock } from '../packages/common/systemClock';
import { toId } from '../packages/common/toId';
import { EndpointBook } from '../packages/dispatch/EndpointBook';
import type { EndpointClient } from '../packages/dispatch/EndpointClient';
import { EndpointSession } from '../packages/dispatch/EndpointSession';
import type { EndpointId } from '../packages/jobs/EndpointId';
import type { ServiceName } from '../packages/jobs/ServiceName';

/** An endpoint takes so long for each answer. */
const ANSWER_MS = 700;

describe('the session with a slow endpoint', () => {
  it('waits longer after each look without an answer, so that the endpoint is heard in the end', async () => {
    const limits: number[] = [];
    const client: EndpointClient = {
      sendStart: () => Promise.resolve({ kind: 'done' }),
      sendStop: () => Promise.resolve({ kind: 'done' }),
      sendHold: ({ timeoutMs }) => {
        limits.push(timeoutMs);
        return Promise.resolve(
          timeoutMs >= ANSWER_MS
            ? { kind: 'held', running: [], ended: [] }
            : { kind: 'unanswered', detail: `no answer in ${timeoutMs} ms` },
        );
      },
      stop: () => Promise.resolve(),
    };
    const profile = {
      id: toId<EndpointId>('i-0'),
      service: toId<ServiceName>('service-a'),
      address: '10.0.0.1:80',
      hall: 'hall-a',
      capacity: { cpuMillis: 1000, memoryMb: 100, accelerators: 0 },
      labels: [],
      isDraining: false,
      remainingMs: 0,
    };
    await new Promise<void>((resolve) => {
      const session = new EndpointSession({
        book: new EndpointBook(profile, 0),
        client,
        clock: systemClock,
        isRenewing: () => true,
        handleHeld: () => {
          session.stop();
          resolve();
          return Promise.resolve();
        },
        handleSilence: () => undefined,
        handleGone: () => undefined,
        handleFenced: () => undefined,
      });
      void session.start();
    });
    expect(limits).toEqual([300, 600, 1200]);
  });
});
