import { stopApp } from './stopApp';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { RequestId } from '../common/RequestId';
import { toId } from '../common/toId';
import type { Call } from './Call';
import type { CallAnswer } from './CallAnswer';
import { createBufferApp } from './createBufferApp';
import { headerNames } from './headerNames';
import { parseCall } from './parseCall';
import { toProblem } from './toProblem';

interface CallerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly box: string;
  /** Largest body taken, in bytes. */
  readonly bodyLimit: number;
  /** Most caller connections at once. */
  readonly maxConnections: number;
  readonly createRequestId: () => RequestId;
  /** Gives each call exactly one final answer. `signal` aborts when the caller has left. */
  readonly handleCall: (call: Call, signal: AbortSignal) => Promise<CallAnswer>;
  readonly isReady: () => boolean;
  readonly formatMetrics: () => string;
}

interface WorkloadRoute {
  readonly Params: { readonly row: string };
}

type WorkloadRequest = FastifyRequest<WorkloadRoute>;

const createNotRun = (reason: 'badRequest' | 'bodyTooLarge', detail: string): CallAnswer => ({
  outcome: 'not-run',
  reason,
  detail,
  retryAfterMs: undefined,
});

/** The callers' listener. It knows headers and answers, and no policy. */
export class CallerServer {
  private readonly app: FastifyInstance;

  constructor(private readonly options: CallerServerOptions) {
    this.app = createBufferApp(options.bodyLimit);
    this.app.server.maxConnections = options.maxConnections;
    this.app.setErrorHandler((error: { code?: string; message: string }, request, reply) => {
      const reason = error.code === 'FST_ERR_CTP_BODY_TOO_LARGE' ? 'bodyTooLarge' : 'badRequest';
      return this.sendAnswer(reply, toId<RequestId>(request.id), createNotRun(reason, error.message));
    });
    this.app.setNotFoundHandler((request, reply) => {
      const detail = `No such path: ${request.method} ${request.url}`;
      return this.sendAnswer(reply, toId<RequestId>(request.id), createNotRun('badRequest', detail));
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

  /** Takes no new connections and resolves when all answers are out. */
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
      return this.sendAnswer(reply, id, createNotRun('badRequest', parsed.error));
    }
    const left = new AbortController();
    reply.raw.on('close', () => left.abort());
    const answer = await this.options.handleCall(parsed.value, left.signal);
    return this.sendAnswer(reply, id, answer);
  }

  private sendAnswer(reply: FastifyReply, id: RequestId, answer: CallAnswer): FastifyReply {
    const headers = {
      [headerNames.outcome]: answer.outcome,
      [headerNames.request]: id,
      [headerNames.box]: this.options.box,
    };
    void reply.headers(headers);
    if (answer.outcome === 'ran') {
      return reply.code(answer.status).type(answer.contentType).send(answer.body);
    }
    if (answer.outcome === 'not-run' && answer.retryAfterMs !== undefined) {
      void reply.header('retry-after', Math.ceil(answer.retryAfterMs / 1000));
    }
    const { status, body } = toProblem(answer);
    return reply
      .code(status)
      .type('application/problem+json')
      .send(JSON.stringify({ ...body, status, request: id }));
  }
}
