import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { RawConnection } from '../helpers/RawConnection';

type CellBox = Cell['boxes'][number];

const BODY = JSON.stringify({ spec: '20', steps: [{ count: 1, cpu: 1000, 'mem-mb': 100 }] });

const waitFor = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

const formatRequest = (id: string, headers = ''): string =>
  `POST /jobs/${id} HTTP/1.1\r\nhost: jobs.example\r\ncontent-type: application/json\r\n${headers}content-length: ${BODY.length}\r\n\r\n${BODY}`;

describe('a box that stops by plan', () => {
  let cell: Cell;
  let connections: RawConnection[];

  beforeEach(async () => {
    connections = [];
    cell = await Cell.create({ boxes: 3, executors: 2, roomPerExecutor: 50 });
    await cell.startLeader();
  });

  afterEach(async () => {
    connections.forEach((connection) => connection.stop());
    expect(cell.runChecker.getViolations()).toEqual([]);
    await cell.stop();
  });

  const connectTo = async (address: string): Promise<RawConnection> => {
    const connection = await RawConnection.create(address);
    connections.push(connection);
    return connection;
  };

  /** Sends SIGTERM, and returns the milliseconds until the process has ended; its exit code must be 0. */
  const stopBox = async (box: CellBox): Promise<number> => {
    const startedAt = performance.now();
    box.process.sendSignal('SIGTERM');
    const code = await Promise.race([box.process.exit, waitFor(8000).then(() => 'still running')]);
    expect(code).toBe(0);
    return performance.now() - startedAt;
  };

  const chooseFollower = async (): Promise<CellBox> => {
    const leader = await cell.startLeader();
    return cell.boxes.find((box) => box !== leader)!;
  };

  it('is not ended early by a second signal, which would cut the requests in progress', async () => {
    const box = await chooseFollower();
    const connection = await connectTo(box.front);
    const text = formatRequest(toJobIdText(1));
    connection.sendText(text.slice(0, -10));
    await waitFor(100);
    const stopped = stopBox(box);
    await waitFor(200);
    box.process.sendSignal('SIGTERM');
    box.process.sendSignal('SIGHUP');
    await waitFor(300);
    connection.sendText(text.slice(-10));
    await stopped;
    expect([200, 503]).toContain(connection.findResponse()?.status);
  });
});
