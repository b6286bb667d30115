import { stopApp } from '../gateway/stopApp';
import { applyWSSHandler } from '@trpc/server/adapters/ws';
import type { FastifyInstance } from 'fastify';
import { WebSocketServer } from 'ws';
import type { CallResponse } from '../gateway/CallResponse';
import type { Call } from '../gateway/Call';
import { createRawBodyApp } from '../gateway/createRawBodyApp';
import { headerNames } from '../gateway/headerNames';
import { parseCall } from '../gateway/parseCall';
import type { ByteCounter } from '../common/ByteCounter';
import type { RequestId } from '../common/RequestId';
import { toId } from '../common/toId';
import { PEERS } from './constants';
import { createPeerRouter } from './createPeerRouter';
import { formatForwardAnswer } from './formatForwardAnswer';
import type { PeerHandlers } from './PeerHandlers';

interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly bodyLimit: number;
  readonly counter: ByteCounter;
  readonly handlers: PeerHandlers;
  readonly handleCall: (call: Call, signal: AbortSignal) => Promise<CallResponse>;
}

interface ForwardRoute {
  readonly Params: { readonly row: string };
}

/** The peers' listener: tRPC over WebSocket, and calls sent on, whose opaque bodies go over plain HTTP. */
export class PeerServer {
  private readonly app: FastifyInstance;
  private readonly sockets: WebSocketServer;

  constructor(private readonly options: PeerServerOptions) {
    this.app = createRawBodyApp(options.bodyLimit);
    this.app.post<ForwardRoute>('/forward/:row', async (request, reply) => {
      const id = toId<RequestId>(String(request.headers[headerNames.request] ?? ''));
      const body = (request.body as Buffer | undefined) ?? Buffer.alloc(0);
      const parsed = parseCall({
        id,
        row: request.params.row,
        headers: request.headers,
        body,
        isForwarded: true,
      });
      const answer = parsed.ok
        ? await options.handleCall(parsed.value, this.createLeftSignal(reply.raw))
        : ({
            outcome: 'not-run',
            reason: 'badRequest',
            detail: parsed.error,
            retryAfterMs: undefined,
          } as const);
      const formatted = formatForwardAnswer(answer);
      return reply.code(200).headers(formatted.headers).type('application/octet-stream').send(formatted.body);
    });
    this.sockets = new WebSocketServer({ server: this.app.server, path: PEERS.path, maxPayload: 8_388_608 });
    this.sockets.on('connection', (_socket, request) => options.counter.addSocket(request.socket));
    applyWSSHandler({ wss: this.sockets, router: createPeerRouter(options.handlers) });
  }

  async start(): Promise<void> {
    await this.app.listen({ host: this.options.host, port: this.options.port });
  }

  /** Closes the listener and all links. Call it last: a refused connection tells peers that this process has ended. */
  async stop(): Promise<void> {
    for (const socket of this.sockets.clients) {
      socket.terminate();
    }
    await stopApp(this.app);
  }

  private createLeftSignal(response: { on(event: 'close', listener: () => void): unknown }): AbortSignal {
    const left = new AbortController();
    response.on('close', () => left.abort());
    return left.signal;
  }
}
