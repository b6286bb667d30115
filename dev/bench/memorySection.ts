import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { formatColumns } from '../../packages/cli/formatColumns';
import { createRandom } from '../../packages/common/createRandom';
import type { ProcessId } from '../../packages/common/ProcessId';
import type { RequestId } from '../../packages/common/RequestId';
import { toId } from '../../packages/common/toId';
import type { UnitId } from '../../packages/common/UnitId';
import { ClaimFold } from '../../packages/entry/ClaimFold';
import { EndpointConnection } from '../../packages/gateway/EndpointConnection';
import { createConnectedSocket } from '../../packages/gateway/createConnectedSocket';
import { Ownership } from '../../packages/ownership/Ownership';
import { Scheduler } from '../../packages/scheduler/Scheduler';
import { createTable } from '../../packages/table/createTable';
import type { Row } from '../../packages/table/Row';
import { deployments } from '../traces/deployments';
import type { BenchSection } from './BenchSection';
import { createWorkerViews } from './createWorkerViews';
import { measureHeap } from './measureHeap';

const BYTES_PER_MB = 1_048_576;
const WORKERS = 14_000;
const TASKS = 50_000;
const ROWS = 2000;
const CLAIMS = 50_000;
const CONNECTIONS = 500;

const createScheduler = (rows: readonly Row[]): Scheduler => {
  const scheduler = new Scheduler({
    policy: 'stairline',
    random: createRandom(1),
    shareIndex: 0,
    shareCount: 1,
  });
  scheduler.handle({ kind: 'table', rows, teams: [] }, 0);
  return scheduler;
};

const startTasks = (scheduler: Scheduler, count: number): void => {
  for (let number = 0; number < count; number += 1) {
    const id = toId<RequestId>(`q${number}`);
    const request = {
      id,
      row: toId('plan-refresh'),
      team: toId('clinicians'),
      arrivedAt: 0,
      deadlineAt: 1e9,
    } as const;
    scheduler.handle({ kind: 'request', request: request as never }, 0);
  }
};

/** Measures the heap that `create` adds for `count` things, in bytes each. What it creates is kept until measured. */
const measureEach = (count: number, create: () => unknown): number => {
  const before = measureHeap();
  const kept = create();
  const after = measureHeap();
  return kept === undefined ? 0 : ((after - before) * BYTES_PER_MB) / count;
};

const createManyRows = (): readonly Row[] => {
  const [first] = deployments.almaty.rows;
  return first === undefined
    ? []
    : Array.from({ length: ROWS }, (_, index) => ({ ...first, name: toId(`row-${index}`) }) as Row);
};

const createClaims = (): ClaimFold => {
  const fold = new ClaimFold();
  for (let number = 0; number < CLAIMS; number += 1) {
    const claim = {
      key: `course-build:key-${number}`,
      claimId: randomUUID(),
      process: 'hall-medeu-entry-1#abc',
    };
    fold.applyRecord(number, { kind: 'claims', claims: [claim], released: [] });
  }
  return fold;
};

/** Heap of one idle connection, measured with real sockets to a server in this process. */
const measureConnection = async (): Promise<number> => {
  const server = createServer((socket) =>
    socket
      .on('error', () => socket.destroy())
      .on('end', () => socket.end())
      .unref(),
  ).listen(0, '127.0.0.1');
  server.unref();
  await once(server, 'listening');
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const before = measureHeap();
  const connections: EndpointConnection[] = [];
  for (let number = 0; number < CONNECTIONS; number += 1) {
    const socket = await createConnectedSocket({ address, timeoutMs: 1000 });
    if (socket.ok) {
      connections.push(new EndpointConnection({ address, socket: socket.value, maxResponseBytes: 1000 }));
    }
  }
  const after = measureHeap();
  for (const connection of connections) {
    connection.stop();
  }
  server.close();
  return ((after - before) * BYTES_PER_MB) / CONNECTIONS;
};

/** Memory per worker, running task, row and owned unit. */
export const memorySection: BenchSection = {
  name: 'memory',
  about: 'heap added per thing, after a collection',
  measure: async () => {
    const { rows, capacity } = deployments.almaty;
    const scheduler = createScheduler(rows);
    const views = createWorkerViews(WORKERS, capacity);
    const perWorker = measureEach(
      WORKERS,
      () => scheduler.handle({ kind: 'workers', workers: views }, 0) ?? scheduler,
    );
    const perTask = measureEach(TASKS, () => {
      startTasks(scheduler, TASKS);
      return scheduler;
    });
    const perRow = measureEach(ROWS, () => {
      const table = createTable({ rows: createManyRows(), teams: [] });
      const other = createScheduler([...table.rows.values()]);
      return { table, other };
    });
    const perUnit = measureEach(WORKERS, () => {
      const self = toId<ProcessId>('box#1');
      const timings = {
        leaseMs: 3000,
        marginMs: 500,
        suspectMs: 4000,
        longestTaskMs: 60_000,
        seatLeaseMs: 10_000,
      };
      const ownership = new Ownership({ self, timings, readOwnHoldings: () => [] });
      ownership.applyLogRead({ askedAt: 0, records: [], tail: 0, first: 0 }, 0);
      const view = ownership.createProposal(0);
      const record = { kind: 'view', view, proposer: self } as never;
      ownership.applyLogRead({ askedAt: 0, records: [{ offset: 0, record }], tail: 1, first: 0 }, 0);
      ownership.applyKnownUnits(views.map((one) => toId<UnitId>(`worker/${one.id}`)));
      return ownership;
    });
    const perKey = measureEach(CLAIMS, createClaims);
    const perConnection = await measureConnection();
    const lines = [
      ['worker in the scheduler', Math.round(perWorker)],
      ['running task in the scheduler', Math.round(perTask)],
      ['row in table and scheduler', Math.round(perRow)],
      ['owned unit', Math.round(perUnit)],
      ['claimed key', Math.round(perKey)],
      ['connection to an endpoint, both ends', Math.round(perConnection)],
    ];
    return formatColumns(['thing', 'bytes each'], lines);
  },
};
