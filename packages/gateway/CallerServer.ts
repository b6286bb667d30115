import { stopApp } from './stopApp';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { RequestId } from '../common/RequestId';
import { toId } from '../common/toId';
import type { Call } from './Call';
import type { CallResponse } from './CallResponse';
import { createRawBodyApp } from './createRawBodyApp';
import { headerNames } from './headerNames';
import { parseCall } from './parseCall';
import { toProblem } from './toProblem';

interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly box: string;
  /** Maximum size of a request body, in bytes. */
  readonly bodyLimit: number;
  /** Maximum number of concurrent connections. */
  readonly maxConnections: number;
  readonly createRequestId: () => RequestId;
  /** Returns the one final response to a call. `signal` aborts when the caller disconnects. */
  readonly handleCall: (call: Call, signal: AbortSignal) => Promise<CallResponse>;
  /** True if this box accepts calls; returned by the readiness probe. */
  readonly isReady: () => boolean;
  readonly formatMetrics: () => string;
}

interface WorkloadRoute {
  readonly Params: { readonly row: string };
}

type WorkloadRequest = FastifyRequest<WorkloadRoute>;

const createNotRunResponse = (reason: 'badRequest' | 'bodyTooLarge', detail: string): CallResponse => ({
  outcome: 'not-run',
  reason,
  detail,
  retryAfterMs: undefined,
});

/** HTTP server for callers: parses calls and writes their responses. */
export class CallerServer {
  private readonly app: FastifyInstance;

  constructor(private readonly options: CallerServerOptions) {
    this.app = createRawBodyApp(options.bodyLimit);
    this.app.server.maxConnections = options.maxConnections;
    this.app.setErrorHandler((error: { code?: string; message: string }, request, reply) => {
      const reason = error.code === 'FST_ERR_CTP_BODY_TOO_LARGE' ? 'bodyTooLarge' : 'badRequest';
      return this.sendResponse(
        reply,
        toId<RequestId>(request.id),
        createNotRunResponse(reason, error.message),
      );
    });
    this.app.setNotFoundHandler((request, reply) => {
      const detail = `No such path: ${request.method} ${request.url}`;
      return this.sendResponse(
        reply,
        toId<RequestId>(request.id),
        createNotRunResponse('badRequest', detail),
      );
    });
    this.app.post<WorkloadRoute>('/v1/workloads/:row', (request, reply) =>
      this.handleRequest(request, reply),
    );
    this.app.get('/healthz', async () => ({ status: 'alive' }));
    this.app.get('/readyz', async (_request, reply) => {
      const isReady = options.isReady();
      return reply.code(isReady ? 200 : 503).send({ status: isReady ? 'ready' : 'not ready' });
    });
    this.app.get('/metrics', async (_request, reply) =>
      reply.type('text/plain').send(options.formatMetrics()),
    );
  }

  async start(): Promise<void> {
    await this.app.listen({ host: this.options.host, port: this.options.port });
  }

  /** Stops accepting connections and resolves when all responses have been sent. */
  async stop(): Promise<void> {
    await stopApp(this.app);
  }

  private async handleRequest(request: WorkloadRequest, reply: FastifyReply): Promise<FastifyReply> {
    const id = this.options.createRequestId();
    const parsed = parseCall({
      id,
      row: request.params.row,
      headers: request.headers,
      body: (request.body as Buffer | undefined) ?? Buffer.alloc(0),
      isForwarded: false,
    });
    if (!parsed.ok) {
      return this.sendResponse(reply, id, createNotRunResponse('badRequest', parsed.error));
    }
    const disconnect = new AbortController();
    reply.raw.on('close', () => disconnect.abort());
    const response = await this.options.handleCall(parsed.value, disconnect.signal);
    return this.sendResponse(reply, id, response);
  }

  private sendResponse(reply: FastifyReply, id: RequestId, response: CallResponse): FastifyReply {
    const headers = {
      [headerNames.outcome]: response.outcome,
      [headerNames.request]: id,
      [headerNames.box]: this.options.box,
    };
    void reply.headers(headers);
    if (response.outcome === 'ran') {
      return reply.code(response.status).type(response.contentType).send(response.body);
    }
    if (response.outcome === 'not-run' && response.retryAfterMs !== undefined) {
      void reply.header('retry-after', Math.ceil(response.retryAfterMs / 1000));
    }
    const { status, body } = toProblem(response);
    return reply
      .code(status)
      .type('application/problem+json')
      .send(JSON.stringify({ ...body, status, request: id }));
  }
}
