import type { Command } from '../../packages/cli/Command';
import { exitCodes } from '../../packages/cli/exitCodes';
import { formatError } from '../../packages/common/formatError';
import { CallerConnection } from './CallerConnection';
import type { CallerOrder } from './CallerOrder';
import type { CallerReply } from './CallerReply';
import { createJobBody } from './createJobBody';

type OrderOf<Kind extends CallerOrder['kind']> = Extract<CallerOrder, { kind: Kind }>;

const PATH = '/jobs/00000000000000a1';
const HOST_HEADER = 'host: jobs.example';

const createRequest = (bodyBytes: number): Buffer =>
  Buffer.from(
    bodyBytes === 0
      ? `GET ${PATH} HTTP/1.1\r\n${HOST_HEADER}\r\n\r\n`
      : `POST ${PATH} HTTP/1.1\r\n${HOST_HEADER}\r\ncontent-type: application/json\r\ncontent-length: ${bodyBytes}\r\n\r\n${createJobBody(bodyBytes)}`,
  );

const sendRequests = async (order: OrderOf<'send'>): Promise<void> => {
  const request = createRequest(order.bodyBytes);
  let unsentCount = order.requestCount;
  const runCaller = async (): Promise<void> => {
    let connection: CallerConnection | undefined;
    while (unsentCount > 0) {
      unsentCount -= 1;
      connection ??= await CallerConnection.create(order.port);
      await connection.sendRequest(request);
      if (order.opensEachTime) {
        await connection.stop();
        connection = undefined;
      }
    }
    await connection?.stop();
  };
  await Promise.all(Array.from({ length: order.callerCount }, runCaller));
};

const createHeldConnections = async (order: OrderOf<'hold'>): Promise<CallerConnection[]> => {
  const request = order.bodyBytes === undefined ? undefined : createRequest(order.bodyBytes);
  const connections: CallerConnection[] = [];
  for (let number = 0; number < order.connectionCount; number += 1) {
    const connection = await CallerConnection.create(order.port);
    connections.push(connection);
    if (request !== undefined) {
      await connection.sendRequest(request);
    }
  }
  return connections;
};

/** `dev callers`: callers of a server, as the bench that forks this process orders by messages. */
export const callersCommand: Command = {
  name: 'callers',
  summary: 'Send requests to a server for callers, as the bench that starts this process orders.',
  usage: '',
  options: {},
  run: async () => {
    let held: CallerConnection[] = [];
    const runOrder = async (order: CallerOrder): Promise<void> => {
      switch (order.kind) {
        case 'send':
          return sendRequests(order);
        case 'hold':
          held = await createHeldConnections(order);
          return;
        case 'release':
          await Promise.all(held.map((connection) => connection.stop()));
          held = [];
      }
    };
    const sendReply = (reply: CallerReply) => process.send?.(reply);
    process.on('message', (order: CallerOrder) => {
      runOrder(order).then(
        () => sendReply({}),
        (error: unknown) => sendReply({ error: formatError(error) }),
      );
    });
    if (process.connected) {
      await new Promise<void>((resolve) => process.once('disconnect', resolve));
    }
    return exitCodes.done;
  },
};
