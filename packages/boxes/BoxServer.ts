import type { FastifyInstance, FastifyRequest } from 'fastify';
import { z } from 'zod';
import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import { hostPortSchema } from '../common/hostPortSchema';
import { parseJson } from '../common/parseJson';
import { parseHostPort } from '../common/parseHostPort';
import { timeoutSchema } from '../common/timeoutSchema';
import { toId } from '../common/toId';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';
import type { JobCaller } from '../customers/JobCaller';
import { jobCallerSchema } from '../customers/jobCallerSchema';
import { createRawBodyApp } from '../gateway/createRawBodyApp';
import type { ListenerLimits } from '../gateway/ListenerLimits';
import type { RefusalCause } from '../gateway/RefusalCause';
import { stopAppWithin } from '../gateway/stopAppWithin';
import type { EndpointId } from '../jobs/EndpointId';
import type { JobId } from '../jobs/JobId';
import type { JobState } from '../jobs/JobState';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import { leaderRecordSchema } from '../leadership/leaderRecordSchema';
import type { VouchResponse } from '../leadership/VouchResponse';
import { RelayServer } from '../relay/RelayServer';
import type { LogWrite } from '../store/LogWrite';
import type { WriteOutcome } from '../store/WriteOutcome';
import { boxResourcesSchema } from './boxResourcesSchema';
import type { AnnouncementResponse } from './AnnouncementResponse';
import type { ConfigurationResponse } from './ConfigurationResponse';

interface BoxServerOptions {
  /** Host and port to listen on, for other entry boxes and metrics collectors. */
  readonly address: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly limits: ListenerLimits;
  /** Called for each request that is refused and each connection that is closed by a limit. */
  readonly recordRefusal: (cause: RefusalCause) => void;
  readonly adviceClient: AdviceClient;
  readonly formatMetrics: () => string;
  /** Checks whether this box can use the log now. */
  readonly isLogUsable: () => Promise<boolean>;
  /** Returns the state of a job while this box leads; undefined when it does not lead or does not find out in time. */
  readonly getJobState: (
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ) => Promise<JobState | 'absent' | undefined>;
  /** Appends a record of a job on behalf of another box; refused when this box cannot write now. */
  readonly writeForBox: (write: LogWrite, timeoutMs: number) => Promise<WriteOutcome>;
  /** Returns the configuration if it is newer than the known version, and its age. */
  readonly getConfiguration: (knownVersion: number) => ConfigurationResponse;
  /** Handles the announcement of the leader and its address, and returns what this process says of itself. */
  readonly handleLeaderAnnouncement: (announcement: LeaderAnnouncement) => AnnouncementResponse;
  /** Handles the request of the leader of an epoch that this box vouch for it. */
  readonly handleVouchRequest: (epoch: number) => VouchResponse;
  /** Handles the request of the stopped leader of an epoch that this box lead next. */
  readonly handleHandover: (epoch: number) => void;
}

/** Largest request body. Exceeds the largest record of the log. */
const MAX_BODY_BYTES = 524_288;
/** Longest key of a record, in UTF-16 code units. Keys of this system are ASCII. */
const MAX_KEY_LENGTH = 200;
const adviceRequestSchema = z.object({
  step: z.string(),
  endpoints: z.array(z.string()),
  timeoutMs: timeoutSchema,
});

const stateRequestSchema = z.object({
  id: z.string(),
  caller: jobCallerSchema,
  timeoutMs: timeoutSchema,
});
const writeRequestSchema = z.object({
  key: z.string().max(MAX_KEY_LENGTH),
  value: z.string(),
  timeoutMs: timeoutSchema,
});
const configurationRequestSchema = z.object({ knownVersion: z.number() });
const announcementSchema = leaderRecordSchema.extend({
  address: hostPortSchema,
  ...boxResourcesSchema.shape,
});
const handoverSchema = z.object({ epoch: z.number() });
const vouchRequestSchema = z.object({ epoch: z.number() });

const parseBody = ({ body }: FastifyRequest): unknown =>
  parseJson(Buffer.isBuffer(body) ? body.toString('utf8') : '');

/** HTTP server for other entry boxes: probes, advice, job states, log writes, leadership, its witnesses and configuration; and for metrics collectors. */
export class BoxServer {
  private readonly app: FastifyInstance;
  private readonly relayServer: RelayServer;

  constructor(private readonly options: BoxServerOptions) {
    const { clock, logger, limits, recordRefusal } = options;
    this.app = createRawBodyApp(MAX_BODY_BYTES, { limits, logger, recordRefusal });
    this.relayServer = new RelayServer({ server: this.app.server, clock, logger });
    this.app.get('/metrics', (_request, reply) => reply.type('text/plain').send(options.formatMetrics()));
    this.app.get('/alive', (_request, reply) => reply.code(204).send());
    this.app.get('/log', async (_request, reply) =>
      reply.code((await options.isLogUsable()) ? 200 : 503).send(''),
    );
    this.app.post('/job-state', async (request, reply) => {
      const parsed = stateRequestSchema.safeParse(parseBody(request));
      if (!parsed.success) {
        return reply.code(400).send({ error: 'malformed question' });
      }
      const { id, caller, timeoutMs } = parsed.data;
      const state = await options.getJobState(toId<JobId>(id), caller, timeoutMs);
      return state === undefined ? reply.code(503).send({}) : reply.send({ state });
    });
    this.app.post('/write', async (request, reply) => {
      const parsed = writeRequestSchema.safeParse(parseBody(request));
      if (!parsed.success) {
        return reply.code(400).send({ error: 'malformed write' });
      }
      const { key, value, timeoutMs } = parsed.data;
      return reply.send({ outcome: await options.writeForBox({ key, value }, timeoutMs) });
    });
    this.app.post('/configuration', (request, reply) => {
      const parsed = configurationRequestSchema.safeParse(parseBody(request));
      return parsed.success
        ? reply.send(options.getConfiguration(parsed.data.knownVersion))
        : reply.code(400).send({ error: 'malformed question' });
    });
    this.app.post('/leader', (request, reply) => {
      const parsed = announcementSchema.safeParse(parseBody(request));
      if (!parsed.success) {
        return reply.code(400).send({ error: 'malformed introduction' });
      }
      const { cores, linkMbps, ...record } = parsed.data;
      const { address } = record;
      return reply.send(options.handleLeaderAnnouncement({ record, address, cores, linkMbps }));
    });
    this.app.post('/vouch', (request, reply) => {
      const parsed = vouchRequestSchema.safeParse(parseBody(request));
      return parsed.success
        ? reply.send(options.handleVouchRequest(parsed.data.epoch))
        : reply.code(400).send({ error: 'malformed vouch request' });
    });
    this.app.post('/hand-over', (request, reply) => {
      const parsed = handoverSchema.safeParse(parseBody(request));
      if (!parsed.success) {
        return reply.code(400).send({ error: 'malformed hand-over' });
      }
      options.handleHandover(parsed.data.epoch);
      return reply.send({});
    });
    this.app.post('/advice', async (request, reply) => {
      const parsed = adviceRequestSchema.safeParse(parseBody(request));
      if (!parsed.success) {
        return reply.code(400).send({ error: 'malformed question' });
      }
      const endpoints = parsed.data.endpoints.map((id) => toId<EndpointId>(id));
      const { step, timeoutMs } = parsed.data;
      const tickets = await options.adviceClient.requestAdvice(step, endpoints, timeoutMs);
      return tickets === undefined ? reply.code(503).send({}) : reply.send({ good: [...tickets] });
    });
  }

  async start(): Promise<void> {
    await this.app.listen(parseHostPort(this.options.address));
  }

  /** Tells leaders that use this box as call relay that it is about to stop. */
  sendLeave(): void {
    this.relayServer.sendLeave();
  }

  /** Stops relaying calls and accepting connections, and finishes the requests in progress; resolves to the number of connections cut after `timeoutMs`. */
  stop(timeoutMs: number): Promise<number> {
    this.relayServer.stop();
    return stopAppWithin(this.app, timeoutMs);
  }
}
