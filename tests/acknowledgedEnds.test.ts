/*
 * Guards against acknowledging ends to another incarnation than the one that listed them: it would forget its own ends, and tasks that are done
 * would run again. A new connection may lead to a new incarnation even when no poll has failed.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { chooseFreePorts } from '../dev/fleet/chooseFreePorts';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { EndpointState } from '../packages/dispatch/endpoints/EndpointState';
import { EndpointSession } from '../packages/dispatch/endpoints/EndpointSession';
import type { PollResult } from '../packages/dispatch/endpoints/PollResult';
import { waitForDelay } from '../packages/common/waitForDelay';
import { systemClock } from '../packages/common/systemClock';
import { toId } from '../packages/common/toId';
import type { EndpointId } from '../packages/jobs/EndpointId';
import { endpointIncarnations } from '../packages/jobs/endpointIncarnations';
import type { TaskName } from '../packages/jobs/TaskName';
import { ExecutorStandin } from '../packages/standins/platform/ExecutorStandin';
import { RunChecker } from '../packages/standins/platform/RunChecker';
import { HttpJsonClient } from '../packages/common/HttpJsonClient';
import { HttpEndpointClient } from '../platform/HttpEndpointClient';
import { createProfile } from './helpers/createProfile';

const ID = toId<EndpointId>('i-0');
const STARTED_AT_MS = 1_775_000_000_000;
const RUN_MS = 20;
const CAPACITY = 8;
const TASKS = 3;

const toTask = (number: number): TaskName => toId<TaskName>(`000000000000000${number}.0.0.0`);

describe('ends of an incarnation that has ended', () => {
  let address: string;
  let witness: RunChecker;
  let standin: ExecutorStandin;
  const clients: HttpEndpointClient[] = [];
  const sessions: EndpointSession[] = [];

  const startIncarnation = async (startedAtMs: number): Promise<void> => {
    standin = new ExecutorStandin({ id: ID, bornAtMs: startedAtMs, address, runChecker: witness });
    await standin.start();
  };

  const createClient = (startedAtMs: number): HttpEndpointClient => {
    const incarnation = endpointIncarnations.toIncarnation(ID, startedAtMs);
    const readNow = (): number => performance.now();
    const client = new HttpEndpointClient({
      address,
      id: ID,
      incarnation,
      getToken: () => 7,
      getNow: readNow,
      initialClockMs: 0,
      createJsonClient: (options) => new HttpJsonClient(options),
    });
    clients.push(client);
    return client;
  };

  /** Runs some tasks to their ends, which no poll has listed yet. */
  const runToEnds = async (client: HttpEndpointClient, first: number): Promise<void> => {
    await client.sendPoll({ acknowledgedUpTo: 0, leaseMs: 4000, waitMs: 0, timeoutMs: 500 });
    for (let number = first; number < first + TASKS; number += 1) {
      const order = { task: toTask(number), run: 1, spec: String(RUN_MS), checkpoint: '', ticket: '' };
      expect(await client.sendStart(order, 4000, 500)).toEqual({ kind: 'done' });
    }
    await waitForDelay(3 * RUN_MS);
  };

  /** Ends the incarnation and starts the next one at once, with ends that no poll has listed. */
  const startNextIncarnation = async (): Promise<HttpEndpointClient> => {
    await standin.stop();
    await startIncarnation(STARTED_AT_MS + 1);
    const next = createClient(STARTED_AT_MS + 1);
    await runToEnds(next, 1 + TASKS);
    return next;
  };

  const createSession = (client: HttpEndpointClient, handleHeld: () => Promise<void>): EndpointSession => {
    const incarnation = endpointIncarnations.toIncarnation(ID, STARTED_AT_MS);
    const endpoint = new EndpointState(createProfile(ID, { incarnation, address }), 0, new CustomerUsage());
    const session = new EndpointSession({
      endpoint,
      client,
      clock: systemClock,
      canGrantLeases: () => true,
      handleResponse: () => {
        endpoint.recordResponse(systemClock.getNow());
        return true;
      },
      handleOtherIncarnation: () => undefined,
      handleStatus: handleHeld,
      handleUnreachable: () => endpoint.recordUnreachable(systemClock.getNow()),
      handleIncarnationGone: () => undefined,
      handleNewerLeader: () => undefined,
    });
    sessions.push(session);
    return session;
  };

  const countEnds = async (client: HttpEndpointClient): Promise<number> => {
    const result: PollResult = await client.sendPoll({
      acknowledgedUpTo: 0,
      leaseMs: undefined,
      waitMs: 0,
      timeoutMs: 500,
    });
    return result.kind === 'held' ? result.ended.length : -1;
  };

  beforeEach(async () => {
    const [port] = await chooseFreePorts(1);
    address = `127.0.0.1:${port}`;
    witness = new RunChecker(CAPACITY);
    await startIncarnation(STARTED_AT_MS);
  });

  afterEach(async () => {
    sessions.splice(0).forEach((session) => session.stop());
    await Promise.all(clients.splice(0).map((client) => client.stop()));
    await standin.stop();
  });

  it('are not acknowledged to the next one when no poll has failed in between', async () => {
    const client = createClient(STARTED_AT_MS);
    await runToEnds(client, 1);
    let resume: () => void = () => undefined;
    const polls: string[] = [];
    const session = createSession(client, async () => {
      polls.push('held');
      if (polls.length === 2) {
        // Keeps the session between two polls while one incarnation ends and the next one starts.
        await new Promise<void>((resolve) => (resume = resolve));
      }
    });
    void session.runPollLoop();
    while (polls.length < 2) {
      await waitForDelay(5);
    }
    const next = await startNextIncarnation();
    resume();
    await waitForDelay(700);
    expect(witness.getViolations()).toEqual([]);
    expect(await countEnds(next)).toBe(TASKS);
  });

  it('are not acknowledged by a poll beside the loop', async () => {
    const client = createClient(STARTED_AT_MS);
    await runToEnds(client, 1);
    let count = 0;
    const session = createSession(client, async () => {
      count += 1;
      if (count === 2) {
        await new Promise<void>(() => undefined);
      }
    });
    void session.runPollLoop();
    while (count < 2) {
      await waitForDelay(5);
    }
    const next = await startNextIncarnation();
    await session.sendExtraPoll();
    expect(witness.getViolations()).toEqual([]);
    expect(await countEnds(next)).toBe(TASKS);
  });
});
