/*
 * What a soak saw: three tasks that were done ran again ("end acknowledged before it was listed", then "run 2 after run 1 was done"), on an
 * endpoint that had started again at once under its id.
 *
 * Order of events: a life of the endpoint lists ends, and the leader acknowledges them by number with its next looks. The life ends and the next one
 * is there before a look has failed. The next look opens a new connection, reaches the new life, and acknowledges numbers of the one before: the
 * new life forgets ends that it has not listed. A look that then lists neither these runs nor their ends is taken as proof that they don't run.
 *
 * Cause: a look acknowledges what one life has listed, and nothing but the connection tells which life a request reaches. After a failed look the
 * session acknowledged nothing; a look beside the loop did even then, and a connection that was closed between two looks was opened again unseen.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { chooseFreePorts } from '../dev/fleet/chooseFreePorts';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { EndpointState } from '../packages/dispatch/endpoints/EndpointState';
import { EndpointSession } from '../packages/dispatch/endpoints/EndpointSession';
import type { PollResult } from '../packages/dispatch/endpoints/PollResult';
import { startDelay } from '../packages/common/startDelay';
import { systemClock } from '../packages/common/systemClock';
import { toId } from '../packages/common/toId';
import type { EndpointId } from '../packages/jobs/EndpointId';
import { endpointIncarnations } from '../packages/jobs/endpointIncarnations';
import type { TaskName } from '../packages/jobs/TaskName';
import { ExecutorStandin } from '../packages/standins/platform/ExecutorStandin';
import { RunWitness } from '../packages/standins/platform/RunWitness';
import { PlatformEndpoint } from '../platform/PlatformEndpoint';
import { createProfile } from './helpers/createProfile';

const ID = toId<EndpointId>('i-0');
const FIRST_MS = 1_775_000_000_000;
const RUN_MS = 20;
const ROOM = 8;
const TASKS = 3;

const toTask = (number: number): TaskName => toId<TaskName>(`000000000000000${number}.0.0.0`);

describe('ends of a life that is over', () => {
  let address: string;
  let witness: RunWitness;
  let standin: ExecutorStandin;
  const clients: PlatformEndpoint[] = [];
  const sessions: EndpointSession[] = [];

  const startLife = async (bornAtMs: number): Promise<void> => {
    standin = new ExecutorStandin({ id: ID, bornAtMs, address, witness });
    await standin.start();
  };

  const createClient = (bornAtMs: number): PlatformEndpoint => {
    const life = endpointIncarnations.toLife(ID, bornAtMs);
    const readNow = (): number => performance.now();
    const client = new PlatformEndpoint({ address, id: ID, life, readToken: () => 7, readNow, clockMs: 0 });
    clients.push(client);
    return client;
  };

  /** Has an endpoint run some tasks to their ends, which nobody has listed yet. */
  const startEnds = async (client: PlatformEndpoint, first: number): Promise<void> => {
    await client.sendPoll({ lastSeen: 0, leaseMs: 4000, waitMs: 0, timeoutMs: 500 });
    for (let number = first; number < first + TASKS; number += 1) {
      const order = { task: toTask(number), run: 1, spec: String(RUN_MS), checkpoint: '', ticket: '' };
      expect(await client.sendStart(order, 4000, 500)).toEqual({ kind: 'done' });
    }
    await startDelay(3 * RUN_MS);
  };

  /** One life ends and the next one is there at once, with ends that nobody has listed. */
  const startNextLife = async (): Promise<PlatformEndpoint> => {
    await standin.stop();
    await startLife(FIRST_MS + 1);
    const next = createClient(FIRST_MS + 1);
    await startEnds(next, 1 + TASKS);
    return next;
  };

  const createSession = (client: PlatformEndpoint, handleHeld: () => Promise<void>): EndpointSession => {
    const life = endpointIncarnations.toLife(ID, FIRST_MS);
    const book = new EndpointState(createProfile(ID, { incarnation: life, address }), 0, new CustomerUsage());
    const session = new EndpointSession({
      endpoint: book,
      client,
      clock: systemClock,
      isRenewing: () => true,
      handleResponse: () => {
        book.recordResponse(systemClock.readNow());
        return true;
      },
      handleOtherIncarnation: () => undefined,
      handleStatus: handleHeld,
      handleUnreachable: () => book.recordUnreachable(systemClock.readNow()),
      handleGone: () => undefined,
      handleFenced: () => undefined,
    });
    sessions.push(session);
    return session;
  };

  const readEnds = async (client: PlatformEndpoint): Promise<number> => {
    const answer: PollResult = await client.sendPoll({
      lastSeen: 0,
      leaseMs: undefined,
      waitMs: 0,
      timeoutMs: 500,
    });
    return answer.kind === 'held' ? answer.ended.length : -1;
  };

  beforeEach(async () => {
    const [port] = await chooseFreePorts(1);
    address = `127.0.0.1:${port}`;
    witness = new RunWitness(ROOM);
    await startLife(FIRST_MS);
  });

  afterEach(async () => {
    sessions.splice(0).forEach((session) => session.stop());
    await Promise.all(clients.splice(0).map((client) => client.stop()));
    await standin.stop();
  });

  it('are not acknowledged to the next one where no look has failed in between', async () => {
    const client = createClient(FIRST_MS);
    await startEnds(client, 1);
    let goOn: () => void = () => undefined;
    const looks: string[] = [];
    const session = createSession(client, async () => {
      looks.push('held');
      if (looks.length === 2) {
        // The session is between two looks while one life ends and the next one begins.
        await new Promise<void>((resolve) => (goOn = resolve));
      }
    });
    void session.run();
    while (looks.length < 2) {
      await startDelay(5);
    }
    const next = await startNextLife();
    goOn();
    await startDelay(700);
    expect(witness.readProblems()).toEqual([]);
    expect(await readEnds(next)).toBe(TASKS);
  });

  it('are not acknowledged by a look beside the loop', async () => {
    const client = createClient(FIRST_MS);
    await startEnds(client, 1);
    let count = 0;
    const session = createSession(client, async () => {
      count += 1;
      if (count === 2) {
        await new Promise<void>(() => undefined);
      }
    });
    void session.run();
    while (count < 2) {
      await startDelay(5);
    }
    const next = await startNextLife();
    await session.sendExtraPoll();
    expect(witness.readProblems()).toEqual([]);
    expect(await readEnds(next)).toBe(TASKS);
  });
});
