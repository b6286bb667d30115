import { spawn } from 'node:child_process';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { chooseFreePorts } from '../dev/fleet/chooseFreePorts';
import { CallerAuthorizer } from '../packages/gateway/CallerAuthorizer';
import type { JobService } from '../packages/gateway/JobService';
import { QueueRouter } from '../packages/gateway/QueueRouter';
import { FrontServer } from '../platform/FrontServer';
import { parseConfiguration } from '../platform/parseConfiguration';
import { RawConnection } from './helpers/RawConnection';

const ID = '00000000000000a1';
const BODY = JSON.stringify({ spec: '20', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100 }] });
const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'jobs',
      host: 'jobs.example',
      'path-prefix': '/jobs/',
      'route-type': 'non_idempotent',
      'timeout-ms': 3000,
      'target-latency-ms': 250,
      priority: 1,
      service: 'service-a',
      attempts: 2,
      stretch: 1.5,
    },
  ],
  services: [{ name: 'service-a' }],
  limits: {},
};
/** Time for which the event loop is blocked, while a request arrives. */
const BLOCKED_MS = 600;
/**
 * Process of a caller that sends a second request 200 ms after the first response, on the same or on a new connection, and prints what it
 * gets.
 */
const CALLER_PROGRAM = `
  const [port, kind] = process.argv.slice(1);
  const text = 'GET /jobs/ HTTP/1.1\\r\\nhost: jobs.example\\r\\n\\r\\n';
  let responseCount = 0;
  const connect = () => {
    const socket = require('node:net').connect(Number(port), '127.0.0.1');
    socket.on('connect', () => socket.write(text));
    socket.on('data', (chunk) => {
      process.stdout.write(String(chunk).split('\\r\\n')[0] + '\\n');
      responseCount += 1;
      if (responseCount === 1) {
        setTimeout(() => (kind === 'new' ? connect() : socket.write(text)), 200);
      }
    });
    socket.on('error', () => undefined);
  };
  connect();
`;

const waitFor = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));
const waitForever = <Value>(): Promise<Value> => new Promise(() => undefined);

const SILENT_JOBS: JobService = {
  createJob: () => waitForever(),
  getJobState: () => waitForever(),
  cancelJob: () => waitForever(),
  countPendingJobs: () => ({ kind: 'answered', answer: 0 }),
};

const formatRequest = (method: string, body = ''): string =>
  `${method} /jobs/${ID} HTTP/1.1\r\nhost: jobs.example\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

describe('stop of the server for callers', () => {
  let server: FrontServer;
  let front: string;
  let isStopping: boolean;
  let jobs: JobService;
  let warnings: { message: string; fields: Record<string, unknown> | undefined }[];
  let connections: RawConnection[];

  beforeEach(async () => {
    const [first = '', second = ''] = await chooseFreePorts(2);
    const router = new QueueRouter();
    const configuration = parseConfiguration(JSON.stringify(CONFIGURATION));
    expect(configuration.ok && router.applyConfiguration(configuration.value)).toBe(true);
    front = `127.0.0.1:${first}`;
    isStopping = false;
    jobs = SILENT_JOBS;
    warnings = [];
    connections = [];
    server = new FrontServer({
      front,
      ready: `127.0.0.1:${second}`,
      router,
      jobs: {
        createJob: (...input) => jobs.createJob(...input),
        getJobState: (...input) => jobs.getJobState(...input),
        cancelJob: (...input) => jobs.cancelJob(...input),
        countPendingJobs: (...input) => jobs.countPendingJobs(...input),
      },
      authorizer: new CallerAuthorizer({ router, isFresh: () => true, handleRejected: () => undefined }),
      getNow: () => performance.now(),
      isReady: () => !isStopping,
      isStopping: () => isStopping,
      logger: {
        info: () => undefined,
        warn: (message, fields) => warnings.push({ message, fields }),
        error: () => undefined,
      },
      maxBodyBytes: 10_000,
    });
    await server.start();
  });

  afterEach(() => {
    connections.forEach((connection) => connection.stop());
  });

  const sendText = async (text: string): Promise<RawConnection> => {
    const connection = await RawConnection.create(front);
    connections.push(connection);
    connection.sendText(text);
    return connection;
  };

  const stopWithin = async (timeoutMs: number): Promise<number> => {
    const startedAt = performance.now();
    isStopping = true;
    await server.stop(timeoutMs);
    return performance.now() - startedAt;
  };

  it('answers requests without a result before its time is over, and logs them', async () => {
    const submission = await sendText(formatRequest('POST', BODY));
    const read = await sendText(formatRequest('GET'));
    const cancellation = await sendText(formatRequest('DELETE'));
    await waitFor(100);
    expect(await stopWithin(1000)).toBeLessThan(1200);
    await waitFor(50);
    expect(submission.findResponse()?.status).toBe(504);
    expect(cancellation.findResponse()?.status).toBe(504);
    expect(read.findResponse()?.status).toBe(503);
    expect(read.findResponse()?.headers).toContain('retry-after: 1');
    expect(read.findResponse()?.headers).toContain('connection: close');
    expect(warnings.map(({ fields }) => fields?.['request'])).toEqual([
      `POST /jobs/${ID}`,
      `GET /jobs/${ID}`,
      `DELETE /jobs/${ID}`,
    ]);
  });

  it('rejects a request that is complete too late to be served, and does not run it', async () => {
    const text = formatRequest('POST', BODY);
    const connection = await sendText(text.slice(0, -10));
    await waitFor(100);
    const stopped = stopWithin(1000);
    await waitFor(500);
    connection.sendText(text.slice(-10));
    expect(await stopped).toBeLessThan(800);
    await waitFor(50);
    expect(connection.findResponse()?.status).toBe(503);
    expect(connection.findResponse()?.headers).toContain('retry-after: 1');
  });

  it('answers requests that a caller has sent without waiting for the first response', async () => {
    const count = 'GET /jobs/ HTTP/1.1\r\nhost: jobs.example\r\n\r\n';
    isStopping = true;
    const connection = await sendText(count.repeat(3));
    await waitFor(100);
    expect(connection.countResponses()).toBe(3);
    expect(await stopWithin(1000)).toBeLessThan(500);
    expect(connection.closedAt).toBeDefined();
  });

  it('answers such requests also when it refuses one without a stop, and closes the connection after the last', async () => {
    jobs = {
      ...SILENT_JOBS,
      createJob: async () => {
        await waitFor(20);
        return { kind: 'unavailable', retryAfterMs: 1000 };
      },
    };
    const connection = await sendText(formatRequest('POST', BODY).repeat(3));
    await waitFor(200);
    expect(connection.countResponses()).toBe(3);
    expect(connection.closedAt).toBeDefined();
  });

  it('cuts connections that have sent half of a request only when its time is over', async () => {
    const connection = await sendText(formatRequest('POST', BODY).slice(0, -10));
    await waitFor(100);
    const tookMs = await stopWithin(1000);
    expect(tookMs).toBeGreaterThan(900);
    expect(tookMs).toBeLessThan(1200);
    await waitFor(50);
    expect(connection.closedAt).toBeDefined();
    expect(warnings).toEqual([
      { message: 'Connections of callers cut at the stop.', fields: { connections: 1 } },
    ]);
  });

  it.each(['idle', 'new'])(
    'answers a request that arrived while it was busy (on a connection that was %s)',
    async (kind) => {
      const args = ['-e', CALLER_PROGRAM, front.split(':')[1]!, kind];
      const caller = spawn(process.execPath, args, { stdio: 'pipe' });
      let output = '';
      caller.stdout.on('data', (chunk: Buffer) => {
        output += chunk.toString('utf8');
      });
      const exited = new Promise((resolve) => caller.once('exit', resolve));
      while (!output.includes('200')) {
        await waitFor(5);
      }
      const blockedUntil = performance.now() + BLOCKED_MS;
      while (performance.now() < blockedUntil) {
        // Blocks the event loop.
      }
      await stopWithin(1000);
      await exited;
      expect(output).toBe('HTTP/1.1 200 OK\nHTTP/1.1 200 OK\n');
    },
  );
});
