import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Cell } from '../../dev/cell/Cell';
import { toJobIdText } from '../../dev/cell/toJobIdText';
import { RawConnection } from '../helpers/RawConnection';

type CellBox = Cell['boxes'][number];

/** Below the grace period of 6 s. */
const MAX_STOP_MS = 5400;
/** Longest time in which a response to a request has to arrive. */
const MAX_RESPONSE_MS = 3000;
/** A connection that ends sooner after a request was sent has ended before the box could read it. */
const MAX_UNREAD_MS = 200;
const CALL_INTERVAL_MS = 40;
/** A slow processor is played by pausing the processes for this part of each period, in milliseconds. */
const SLOW_PAUSE_MS = 240;
const SLOW_PERIOD_MS = 300;
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

  it.each([
    ['nothing', ''],
    ['half of a header', formatRequest(toJobIdText(1)).slice(0, 40)],
    ['half of a body', formatRequest(toJobIdText(1)).slice(0, -10)],
  ])('ends within its grace period while a caller has sent %s', async (_name, text) => {
    const box = await chooseFollower();
    (await connectTo(box.front)).sendText(text);
    (await connectTo(box.ready)).sendText(text);
    (await connectTo(box.internal)).sendText(text);
    await waitFor(100);
    expect(await stopBox(box)).toBeLessThan(MAX_STOP_MS);
    const isLogged = box.process.readOutput().includes('"Connections of callers cut at the stop."');
    expect(isLogged).toBe(text !== '');
  });

  it('ends within its grace period while another box reconnects as soon as it is disconnected', async () => {
    const box = await chooseFollower();
    let isOver = false;
    const reconnect = async (): Promise<void> => {
      while (!isOver) {
        const connection = await RawConnection.create(box.internal).catch(() => undefined);
        while (!isOver && connection !== undefined && connection.closedAt === undefined) {
          await new Promise((resolve) => setImmediate(resolve));
        }
        connection?.stop();
        await new Promise((resolve) => setImmediate(resolve));
      }
    };
    const watches = Array.from({ length: 8 }, reconnect);
    await waitFor(100);
    const tookMs = await stopBox(box);
    isOver = true;
    await Promise.all(watches);
    expect(tookMs).toBeLessThan(MAX_STOP_MS);
  });

  it.each([500, 3000])(
    'answers a request whose last bytes arrive %d ms after the signal',
    async (finishAfterMs) => {
      const box = await chooseFollower();
      const connection = await connectTo(box.front);
      const text = formatRequest(toJobIdText(1));
      connection.sendText(text.slice(0, -10));
      await waitFor(100);
      const stopped = stopBox(box);
      await waitFor(finishAfterMs);
      connection.sendText(text.slice(-10));
      expect(await stopped).toBeLessThan(MAX_STOP_MS);
      const response = connection.findResponse();
      expect([200, 503]).toContain(response?.status);
      expect(response?.status === 503).toBe(response?.headers.includes('retry-after') === true);
    },
  );

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

  /**
   * Sends requests over kept connections to boxes at a steady rate, until `work` has ended. Returns the requests without a complete
   * response, unless the connection ended before a request could be read.
   */
  const listCutRequests = async (
    boxes: readonly CellBox[],
    headers: string,
    work: () => Promise<void>,
  ): Promise<string[]> => {
    const cut: string[] = [];
    let isOver = false;
    let count = 0;
    const sendOne = async (connection: RawConnection, box: CellBox): Promise<void> => {
      count += 1;
      const id = toJobIdText(1000 + count);
      const sentAt = performance.now();
      connection.sendText(formatRequest(id, headers));
      while (connection.findResponse() === undefined && performance.now() - sentAt < MAX_RESPONSE_MS) {
        if (connection.closedAt !== undefined) {
          if (connection.closedAt - sentAt > MAX_UNREAD_MS) {
            cut.push(`${box.name} ${id} cut after ${Math.round(connection.closedAt - sentAt)} ms`);
          }
          return;
        }
        await waitFor(5);
      }
      if (connection.findResponse() === undefined) {
        cut.push(`${box.name} ${id} without a response`);
      }
    };
    const calls: Promise<void>[] = [];
    const sendSteadily = async (box: CellBox): Promise<void> => {
      while (!isOver) {
        const connection = await RawConnection.create(box.front).catch(() => undefined);
        if (connection !== undefined) {
          connections.push(connection);
          calls.push(waitFor(Math.random() * 1500).then(() => sendOne(connection, box)));
        }
        await waitFor(CALL_INTERVAL_MS);
      }
    };
    const senders = boxes.map(sendSteadily);
    await waitFor(500);
    await work();
    isOver = true;
    await Promise.all(senders);
    await Promise.all(calls);
    return cut;
  };

  it('cuts no request in a rolling stop of all boxes under load', async () => {
    const cut = await listCutRequests(cell.boxes, '', async () => {
      for (const box of cell.boxes) {
        expect(await stopBox(box)).toBeLessThan(MAX_STOP_MS);
        cell.startBox(box);
        await cell.startReady(box);
      }
    });
    expect(cut).toEqual([]);
  });

  it('cuts no request in a rolling stop of all boxes on slow processors', async () => {
    const throttle = setInterval(() => {
      cell.boxes.forEach(({ process }) => process.sendSignal('SIGSTOP'));
      setTimeout(() => cell.boxes.forEach(({ process }) => process.sendSignal('SIGCONT')), SLOW_PAUSE_MS);
    }, SLOW_PERIOD_MS);
    const cut = await listCutRequests(cell.boxes, '', async () => {
      for (const box of cell.boxes) {
        expect(await stopBox(box)).toBeLessThan(MAX_STOP_MS);
        cell.startBox(box);
        await cell.startReady(box);
      }
    }).finally(() => clearInterval(throttle));
    await waitFor(SLOW_PERIOD_MS);
    expect(cut).toEqual([]);
  });

  it.each(['silent', 'busy'] as const)(
    'cuts no request, and ends within its grace period, as leader while the log is %s',
    async (fault) => {
      const leader = await cell.startLeader();
      const cut = await listCutRequests([leader], 'x-stairline-deadline-ms: 30000\r\n', async () => {
        cell.log.setFault(fault);
        expect(await stopBox(leader)).toBeLessThan(MAX_STOP_MS);
      });
      expect(cut).toEqual([]);
      cell.log.setFault('none');
    },
  );

  it('cuts no request, and ends within its grace period, while the other boxes are paused', async () => {
    const leader = await cell.startLeader();
    const others = cell.boxes.filter((box) => box !== leader);
    const cut = await listCutRequests([leader], '', async () => {
      others.forEach(({ process }) => process.sendSignal('SIGSTOP'));
      expect(await stopBox(leader)).toBeLessThan(MAX_STOP_MS);
    });
    others.forEach(({ process }) => process.sendSignal('SIGCONT'));
    expect(cut).toEqual([]);
  });
});
