import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { JsonClient } from '../packages/common/JsonClient';
import type { JsonClientOptions } from '../packages/common/JsonClientOptions';
import { HttpJsonClient } from '../packages/common/HttpJsonClient';
import { systemClock } from '../packages/common/systemClock';
import { toId } from '../packages/common/toId';
import { waitForDelay } from '../packages/common/waitForDelay';
import { CustomerUsage } from '../packages/customers/CustomerUsage';
import { EndpointSession } from '../packages/dispatch/endpoints/EndpointSession';
import { EndpointState } from '../packages/dispatch/endpoints/EndpointState';
import type { EndpointId } from '../packages/jobs/EndpointId';
import { endpointIncarnations } from '../packages/jobs/endpointIncarnations';
import type { TaskName } from '../packages/jobs/TaskName';
import { HttpEndpointClient } from '../platform/HttpEndpointClient';
import { createProfile } from './helpers/createProfile';

const ID = toId<EndpointId>('i-0');
const EARLIER_START_MS = 1_775_000_000_000;
const NEXT_START_MS = EARLIER_START_MS + 60_000;
const LEASE_MS = 4000;
const TIMEOUT_MS = 120;
const EARLIER_CLOCK_MS = 50_000;

/** A process that listens at the endpoint's address. */
interface ListeningIncarnation {
  readonly server: Server;
  /** Paths and bodies of its calls. */
  readonly calls: { readonly path: string; readonly body: Record<string, unknown> }[];
  /** False once calls get no response. */
  isResponding: boolean;
}

const createCommand = (index: number): Parameters<HttpEndpointClient['sendStart']>[0] => ({
  task: toId<TaskName>(`0000000000000001.0.0.${index}`),
  run: 1,
  spec: '',
  checkpoint: '',
  ticket: '',
});

describe('calls to an incarnation whose next one is at the same address', () => {
  let port: number;
  let listening: ListeningIncarnation;
  let endpoint: HttpEndpointClient;

  const startListening = async (startedAtMs: number, clockMs: number): Promise<ListeningIncarnation> => {
    const calls: ListeningIncarnation['calls'] = [];
    const server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const body = JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>;
        calls.push({ path: request.url!, body });
        const status = { born: startedAtMs, 'clock-ms': clockMs, running: [], 'end-time': [] };
        if (started.isResponding) {
          response.end(JSON.stringify(request.url === '/hold' ? status : { 'clock-ms': clockMs }));
        }
      });
    });
    const started = { server, calls, isResponding: true };
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    port = (server.address() as AddressInfo).port;
    return started;
  };

  /** Ends the listening incarnation with its connections, and starts the next one. */
  const startNext = async (): Promise<ListeningIncarnation> => {
    listening.server.closeAllConnections();
    await new Promise((resolve) => listening.server.close(resolve));
    listening = await startListening(NEXT_START_MS, 100);
    return listening;
  };

  const createEndpointClient = (
    createJsonClient: (options: JsonClientOptions) => JsonClient,
  ): HttpEndpointClient =>
    new HttpEndpointClient({
      address: `127.0.0.1:${port}`,
      id: ID,
      incarnation: endpointIncarnations.toIncarnation(ID, EARLIER_START_MS),
      getToken: () => 7,
      getNow: () => performance.now(),
      initialClockMs: undefined,
      createJsonClient,
    });

  const countCalls = (path: string): number => listening.calls.filter((call) => call.path === path).length;

  beforeEach(async () => {
    port = 0;
    listening = await startListening(EARLIER_START_MS, EARLIER_CLOCK_MS);
    endpoint = createEndpointClient((options) => new HttpJsonClient(options));
    const poll = { acknowledgedUpTo: 0, leaseMs: LEASE_MS, waitMs: 0, timeoutMs: 1000 };
    expect((await endpoint.sendPoll(poll)).kind).toBe('held');
  });

  afterEach(async () => {
    await endpoint.stop();
    listening.server.closeAllConnections();
    await new Promise((resolve) => listening.server.close(resolve));
  });

  it('are no starts when its connections have been closed', async () => {
    expect(await endpoint.sendStart(createCommand(0), LEASE_MS, TIMEOUT_MS)).toEqual({ kind: 'done' });
    await startNext();
    const result = await endpoint.sendStart(createCommand(1), LEASE_MS, TIMEOUT_MS);
    expect(countCalls('/run-start')).toBe(0);
    expect(result.kind).toBe('undelivered');
  });

  it('are no starts that have waited behind others without a response', async () => {
    expect(await endpoint.sendStart(createCommand(0), LEASE_MS, TIMEOUT_MS)).toEqual({ kind: 'done' });
    listening.isResponding = false;
    const results = [1, 2, 3, 4, 5, 6].map((index) =>
      endpoint.sendStart(createCommand(index), LEASE_MS, TIMEOUT_MS),
    );
    await waitForDelay(TIMEOUT_MS / 2);
    await startNext();
    await Promise.all(results);
    expect(countCalls('/run-start')).toBe(0);
  });

  it('are no first starts, before any connection for commands', async () => {
    await startNext();
    const result = await endpoint.sendStart(createCommand(0), LEASE_MS, TIMEOUT_MS);
    expect(countCalls('/run-start')).toBe(0);
    expect(result.kind).toBe('undelivered');
  });

  it('are starts and renewals again where it offers to keep connections open for a second only', async () => {
    await endpoint.stop();
    listening.server.closeAllConnections();
    await new Promise((resolve) => listening.server.close(resolve));
    listening = await startListening(EARLIER_START_MS, EARLIER_CLOCK_MS);
    listening.server.keepAliveTimeout = 1000;
    endpoint = createEndpointClient((options) => new HttpJsonClient(options));
    const poll = { acknowledgedUpTo: 0, waitMs: 0, timeoutMs: 1000 };
    await endpoint.sendPoll({ ...poll, leaseMs: undefined });
    const renewal = { ...poll, leaseMs: LEASE_MS, isSameConnectionOnly: true };
    expect((await endpoint.sendPoll(renewal)).kind).toBe('held');
    expect(await endpoint.sendStart(createCommand(0), LEASE_MS, TIMEOUT_MS)).toEqual({ kind: 'done' });
  });

  it('say nothing about the endpoint when the relay is lost that confirms their connection', async () => {
    await endpoint.stop();
    const interrupted = { kind: 'interrupted', detail: 'the relay is lost' } as const;
    endpoint = createEndpointClient(() => ({
      sendJsonRequest: () => Promise.resolve(interrupted),
      renewConnections: () => undefined,
      stop: () => Promise.resolve(),
    }));
    expect(await endpoint.sendStart(createCommand(0), LEASE_MS, TIMEOUT_MS)).toEqual(interrupted);
  });

  it('are no polls that grant a lease', async () => {
    const incarnation = endpointIncarnations.toIncarnation(ID, EARLIER_START_MS);
    const state = new EndpointState(createProfile(ID, { incarnation }), 0, new CustomerUsage());
    const others: string[] = [];
    const session = new EndpointSession({
      endpoint: state,
      client: endpoint,
      clock: systemClock,
      canGrantLeases: () => true,
      handleResponse: () => {
        state.recordResponse(performance.now());
        return true;
      },
      handleStatus: () => Promise.resolve(),
      handleOtherIncarnation: (other) => void others.push(other),
      handleUnreachable: () => undefined,
      handleIncarnationGone: () => undefined,
      handleNewerLeader: () => undefined,
    });
    void session.runPollLoop();
    while (!listening.calls.some(({ body }) => body['expires-ms'] !== undefined)) {
      await waitForDelay(10);
    }
    const next = await startNext();
    while (others.length === 0) {
      await waitForDelay(10);
    }
    session.stop();
    expect(next.calls.filter(({ body }) => body['expires-ms'] !== undefined)).toEqual([]);
  });
});
