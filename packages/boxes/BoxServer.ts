import type { FastifyInstance, FastifyRequest } from 'fastify';
import { z } from 'zod';
import { parseJson } from '../common/parseJson';
import { parseHostPort } from '../common/parseHostPort';
import { toId } from '../common/toId';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';
import type { CustomerName } from '../customers/CustomerName';
import type { JobCaller } from '../customers/JobCaller';
import { createRawBodyApp } from '../gateway/createRawBodyApp';
import type { EndpointId } from '../jobs/EndpointId';
import type { JobId } from '../jobs/JobId';
import type { JobState } from '../jobs/JobState';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import { leaderRecordSchema } from '../leadership/leaderRecordSchema';
import type { LogWrite } from '../store/LogWrite';
import type { WriteOutcome } from '../store/WriteOutcome';
import { boxPowerSchema } from './boxPowerSchema';
import type { ConfigurationAnswer } from './ConfigurationAnswer';

interface BoxServerOptions {
  /** Host and port for other entry boxes and for collectors of metrics. */
  readonly address: string;
  readonly advice: AdviceClient;
  readonly formatMetrics: () => string;
  /** Tries whether this box can use the log now. */
  readonly isLogUsable: () => Promise<boolean>;
  /** The state of a job while this box leads; undefined when it does not, or cannot tell in time. */
  readonly readLeaderState: (
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ) => Promise<JobState | 'absent' | undefined>;
  /** Appends a record of a job for another box. */
  readonly writeForOther: (write: LogWrite, timeoutMs: number) => Promise<WriteOutcome>;
  /** What this box knows of the configuration, for one that has a version. */
  readonly readConfiguration: (knownVersion: number) => ConfigurationAnswer;
  /** The leader tells this box who leads and where. */
  readonly handleIntroduction: (introduction: LeaderAnnouncement) => void;
  /** The leader of an epoch has stopped and asks this box to lead next. */
  readonly handleHandOver: (epoch: number) => void;
}

/** Above the largest record of the platform's log. */
const BODY_LIMIT_BYTES = 524_288;
const questionSchema = z.object({
  step: z.string(),
  endpoints: z.array(z.string()),
  timeoutMs: z.number().positive(),
});

const callerSchema = z.object({
  queue: z.string(),
  isOpen: z.boolean(),
  customer: z
    .string()
    .transform((text) => toId<CustomerName>(text))
    .optional(),
});

const stateQuestionSchema = z.object({
  id: z.string(),
  caller: callerSchema,
  timeoutMs: z.number().positive(),
});
const writeSchema = z.object({ key: z.string(), value: z.string(), timeoutMs: z.number().positive() });
const configurationQuestionSchema = z.object({ knownVersion: z.number() });
const introductionSchema = leaderRecordSchema.extend({ address: z.string(), ...boxPowerSchema.shape });
const handOverSchema = z.object({ epoch: z.number() });

const readBody = ({ body }: FastifyRequest): unknown =>
  parseJson(Buffer.isBuffer(body) ? body.toString('utf8') : '');

/** What an entry box offers to other boxes: a turn at the advice service, its word on the log and on jobs, and its metrics. */
export class BoxServer {
  private readonly app: FastifyInstance;

  constructor(private readonly options: BoxServerOptions) {
    this.app = createRawBodyApp(BODY_LIMIT_BYTES);
    this.app.get('/metrics', (_request, reply) => reply.type('text/plain').send(options.formatMetrics()));
    this.app.get('/log', async (_request, reply) =>
      reply.code((await options.isLogUsable()) ? 200 : 503).send(''),
    );
    this.app.post('/job-state', async (request, reply) => {
      const question = stateQuestionSchema.safeParse(readBody(request));
      if (!question.success) {
        return reply.code(400).send({ error: 'malformed question' });
      }
      const { id, caller, timeoutMs } = question.data;
      const state = await options.readLeaderState(toId<JobId>(id), caller, timeoutMs);
      return state === undefined ? reply.code(503).send({}) : reply.send({ state });
    });
    this.app.post('/write', async (request, reply) => {
      const parsed = writeSchema.safeParse(readBody(request));
      if (!parsed.success) {
        return reply.code(400).send({ error: 'malformed write' });
      }
      const { key, value, timeoutMs } = parsed.data;
      return reply.send({ outcome: await options.writeForOther({ key, value }, timeoutMs) });
    });
    this.app.post('/configuration', (request, reply) => {
      const question = configurationQuestionSchema.safeParse(readBody(request));
      return question.success
        ? reply.send(options.readConfiguration(question.data.knownVersion))
        : reply.code(400).send({ error: 'malformed question' });
    });
    this.app.post('/leader', (request, reply) => {
      const parsed = introductionSchema.safeParse(readBody(request));
      if (!parsed.success) {
        return reply.code(400).send({ error: 'malformed introduction' });
      }
      const { address, cores, linkMbps, ...record } = parsed.data;
      options.handleIntroduction({ record, address, cores, linkMbps });
      return reply.send({});
    });
    this.app.post('/hand-over', (request, reply) => {
      const handOver = handOverSchema.safeParse(readBody(request));
      if (!handOver.success) {
        return reply.code(400).send({ error: 'malformed hand-over' });
      }
      options.handleHandOver(handOver.data.epoch);
      return reply.send({});
    });
    this.app.post('/advice', async (request, reply) => {
      const question = questionSchema.safeParse(readBody(request));
      if (!question.success) {
        return reply.code(400).send({ error: 'malformed question' });
      }
      const endpoints = question.data.endpoints.map((id) => toId<EndpointId>(id));
      const { step, timeoutMs } = question.data;
      const good = await options.advice.requestAdvice(step, endpoints, timeoutMs);
      return good === undefined ? reply.code(503).send({}) : reply.send({ good: [...good] });
    });
  }

  async start(): Promise<void> {
    await this.app.listen(parseHostPort(this.options.address));
  }

  async stop(): Promise<void> {
    this.app.server.closeAllConnections();
    await this.app.close();
  }
}
