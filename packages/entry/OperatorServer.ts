import { stopApp } from '../gateway/stopApp';
import Fastify, { type FastifyInstance } from 'fastify';
import { z } from 'zod';
import type { RequestId } from '../common/RequestId';
import { toId } from '../common/toId';
import { nameSchema } from '../table/nameSchema';
import type { TableState } from '../table/TableState';
import type { Timeline } from '../timeline/Timeline';
import type { EditAnswer } from './EditAnswer';
import type { EditRequest } from './EditRequest';
import type { EntryStatus } from './EntryStatus';
import { formatOperatorPage } from './formatOperatorPage';

interface OperatorServerOptions {
  readonly host: string;
  readonly port: number;
  readonly timeline: Timeline;
  readonly readStatus: () => EntryStatus;
  readonly readTable: () => TableState;
  readonly writeEdit: (request: EditRequest) => Promise<EditAnswer>;
  readonly formatMetrics: () => string;
}

const cellValue = z.union([
  z.string(),
  z.number(),
  z.boolean(),
  z.null(),
  z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
]);
const editSchema = z.strictObject({
  cell: z.string().min(1).max(200),
  value: cellValue,
  operator: nameSchema,
  basedOn: z.int().min(-1).optional(),
});

/** The operators' listener: status, table, time line and a page for a browser. Callers cannot reach it. */
export class OperatorServer {
  private readonly app: FastifyInstance;

  constructor(private readonly options: OperatorServerOptions) {
    this.app = Fastify({ bodyLimit: 65_536 });
    this.app.get('/', async (_request, reply) =>
      reply.type('text/html').send(formatOperatorPage(options.readStatus(), options.readTable())),
    );
    this.app.get('/status', async () => options.readStatus());
    this.app.get('/metrics', async (_request, reply) =>
      reply.type('text/plain').send(options.formatMetrics()),
    );
    this.app.get('/table', async () => this.createTableAnswer());
    this.app.get('/table/history', async () => ({ history: options.readTable().history }));
    this.app.get<{ Querystring: { request?: string } }>('/timeline', async (request) => {
      const id = request.query.request;
      return { events: options.timeline.listEvents(id === undefined ? undefined : toId<RequestId>(id)) };
    });
    this.app.post('/table/edits', async (request, reply) => {
      const parsed = editSchema.safeParse(request.body);
      if (!parsed.success) {
        const reason = z.prettifyError(parsed.error);
        return reply.code(400).send({ kind: 'refused', reason });
      }
      return options.writeEdit(parsed.data as EditRequest);
    });
  }

  async start(): Promise<void> {
    await this.app.listen({ host: this.options.host, port: this.options.port });
  }

  async stop(): Promise<void> {
    this.app.server.closeAllConnections();
    await stopApp(this.app);
  }

  private createTableAnswer(): object {
    const table = this.options.readTable();
    const cells = [...table.cells].map(([cell, edit]) => ({
      cell,
      offset: edit.offset,
      operator: edit.operator,
    }));
    return {
      offset: table.offset,
      isShared: table.isShared,
      rows: [...table.rows.values()],
      teams: [...table.teams.values()],
      cells,
    };
  }
}
