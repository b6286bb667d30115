import { formatColumns } from '../../packages/cli/formatColumns';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { computeMedian } from '../../packages/dispatch/speeds/computeMedian';
import { CallerAuthorizer } from '../../packages/gateway/CallerAuthorizer';
import type { JobService } from '../../packages/gateway/JobService';
import { QueueRouter } from '../../packages/gateway/QueueRouter';
import { FrontServer } from '../../platform/FrontServer';
import { parseConfiguration } from '../../platform/parseConfiguration';
import { chooseFreePorts } from '../fleet/chooseFreePorts';
import type { BenchSection } from './BenchSection';
import { CallerProcess } from './CallerProcess';
import { measureHeap } from './measureHeap';

interface RequestKind {
  readonly name: string;
  /** Size of the submitted job; 0 for a read. */
  readonly bodyBytes: number;
  readonly requestCount: number;
  readonly opensEachTime: boolean;
}

/** What one round of a kind of request showed. */
interface RequestCost {
  readonly requestsPerSecond: number;
  /** Processor time of this process for each request, in microseconds. */
  readonly processorUs: number;
  /** Heap that one connection holds after a request, in bytes. */
  readonly connectionBytes: number;
}

const KINDS: readonly RequestKind[] = [
  { name: 'GET of a state', bodyBytes: 0, requestCount: 20_000, opensEachTime: false },
  { name: 'POST of 2 kB', bodyBytes: 2000, requestCount: 10_000, opensEachTime: false },
  { name: 'POST of 200 kB', bodyBytes: 200_000, requestCount: 500, opensEachTime: false },
  { name: 'GET, each on a new connection', bodyBytes: 0, requestCount: 2000, opensEachTime: true },
];
const ROUNDS = 3;
const CALLERS = 16;
const HELD_CONNECTIONS = 500;
/** Time for the server to finish what follows a response or the end of a connection. */
const SETTLE_MS = 100;
const STOP_TIMEOUT_MS = 1000;
const BYTES_PER_MB = 1_048_576;
const MS_PER_S = 1000;
const MAX_BODY_BYTES = 262_144;
const CONFIGURATION = {
  version: 1,
  routes: [{ name: 'jobs', host: 'jobs.example', 'path-prefix': '/jobs/', service: 'service-a' }],
};
const ANSWERING_JOBS: JobService = {
  createJob: async () => ({ kind: 'answered', answer: { kind: 'accepted' } }),
  getJobState: async () => ({ kind: 'answered', answer: 'running' }),
  cancelJob: async () => ({ kind: 'answered', answer: 'cancelled' }),
  countPendingJobs: () => ({ kind: 'answered', answer: 0 }),
};

const createRouter = (): QueueRouter => {
  const router = new QueueRouter();
  const configuration = parseConfiguration(JSON.stringify(CONFIGURATION));
  if (!configuration.ok || !router.applyConfiguration(configuration.value)) {
    throw new Error('the configuration of the bench is not valid');
  }
  return router;
};

const createServer = (port: number, readyPort: number): FrontServer => {
  const router = createRouter();
  return new FrontServer({
    front: `127.0.0.1:${port}`,
    ready: `127.0.0.1:${readyPort}`,
    router,
    jobs: ANSWERING_JOBS,
    authorizer: new CallerAuthorizer({ router, isFresh: () => true, handleRejected: () => undefined }),
    getNow: () => performance.now(),
    isReady: () => true,
    isStopping: () => false,
    logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
    maxBodyBytes: MAX_BODY_BYTES,
  });
};

/** Returns the heap in bytes that the end of one idle connection frees, after a request with such a body or without one. */
const readConnectionBytes = async (
  callers: CallerProcess,
  port: number,
  bodyBytes: number | undefined,
): Promise<number> => {
  await callers.sendOrder({ kind: 'hold', port, bodyBytes, connectionCount: HELD_CONNECTIONS });
  await waitForDelay(SETTLE_MS);
  const held = measureHeap();
  await callers.sendOrder({ kind: 'release' });
  await waitForDelay(SETTLE_MS);
  return ((held - measureHeap()) * BYTES_PER_MB) / HELD_CONNECTIONS;
};

const runRequests = async (
  callers: CallerProcess,
  port: number,
  { bodyBytes, requestCount, opensEachTime }: RequestKind,
): Promise<RequestCost> => {
  measureHeap();
  const startedAt = performance.now();
  const usedBefore = process.cpuUsage();
  await callers.sendOrder({
    kind: 'send',
    port,
    bodyBytes,
    requestCount,
    callerCount: CALLERS,
    opensEachTime,
  });
  const used = process.cpuUsage(usedBefore);
  const tookMs = performance.now() - startedAt;
  return {
    requestsPerSecond: (requestCount / tookMs) * MS_PER_S,
    processorUs: (used.user + used.system) / requestCount,
    connectionBytes: await readConnectionBytes(callers, port, bodyBytes),
  };
};

/** Runs all kinds once to warm up, then in rounds; returns a line of medians for each. */
const runRounds = async (callers: CallerProcess, port: number): Promise<readonly (readonly unknown[])[]> => {
  const costs = KINDS.map((): RequestCost[] => []);
  const unusedBytes: number[] = [];
  for (let round = 0; round <= ROUNDS; round += 1) {
    for (const [index, kind] of KINDS.entries()) {
      const cost = await runRequests(callers, port, kind);
      if (round > 0) {
        costs[index]!.push(cost);
      }
    }
    const bytes = await readConnectionBytes(callers, port, undefined);
    if (round > 0) {
      unusedBytes.push(bytes);
    }
  }
  const computeRounded = (values: readonly number[]) => Math.round(computeMedian(values));
  return [
    ...KINDS.map(({ name, requestCount }, index) => [
      name,
      requestCount,
      computeRounded(costs[index]!.map((cost) => cost.requestsPerSecond)),
      computeRounded(costs[index]!.map((cost) => cost.processorUs)),
      computeRounded(costs[index]!.map((cost) => cost.connectionBytes)),
    ]),
    ['connection without a request', '-', '-', '-', computeRounded(unusedBytes)],
  ];
};

/** Cost of callers' requests to the box that serves them, without the work on jobs. */
export const frontSection: BenchSection = {
  name: 'front',
  about: `requests of ${CALLERS} callers in another process, each sent after the last response; medians of ${ROUNDS} rounds`,
  measure: async () => {
    const [port = 0, readyPort = 0] = await chooseFreePorts(2);
    const server = createServer(port, readyPort);
    await server.start();
    const callers = new CallerProcess();
    try {
      const lines = await runRounds(callers, port);
      return formatColumns(
        ['request', 'requests', 'requests/s', 'processor µs each', 'heap bytes per idle connection'],
        lines,
      );
    } finally {
      await server.stop(STOP_TIMEOUT_MS);
      await callers.stop();
    }
  },
};
