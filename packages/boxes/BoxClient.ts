import { z } from 'zod';
import { HttpClient } from '../common/HttpClient';
import type { JobCaller } from '../customers/JobCaller';
import { configurationSchema } from '../gateway/configurationSchema';
import type { AdviceClient } from '../dispatch/advice/AdviceClient';
import { parseTickets } from '../dispatch/advice/parseTickets';
import type { EndpointId } from '../jobs/EndpointId';
import type { JobId } from '../jobs/JobId';
import type { JobState } from '../jobs/JobState';
import type { LeaderAnnouncement } from '../leadership/LeaderAnnouncement';
import type { VouchResponse } from '../leadership/VouchResponse';
import type { LogWrite } from '../store/LogWrite';
import type { WriteOutcome } from '../store/WriteOutcome';
import type { AnnouncementResponse } from './AnnouncementResponse';
import type { ConfigurationResponse } from './ConfigurationResponse';
import type { LogStatus } from './LogStatus';

/** Connections for all requests but log writes. */
const MAX_CONNECTIONS = 3;
const MAX_WRITE_CONNECTIONS = 4;
/** Timeout of requests for the log status, of leader announcements, of vouch requests and of handovers. */
const CONTROL_TIMEOUT_MS = 200;

const stateResponseSchema = z.object({
  state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled', 'absent']),
});

const announcementResponseSchema: z.ZodType<AnnouncementResponse> = z.object({
  box: z.string().optional(),
  process: z.string().optional(),
  upMs: z.number().min(0).optional(),
  vouchedMs: z.number().min(0).optional(),
});

const vouchResponseSchema: z.ZodType<VouchResponse> = z.object({
  box: z.string(),
  process: z.string(),
  isVouched: z.boolean(),
});

const writeResponseSchema = z.object({ outcome: z.enum(['written', 'refused', 'unknown']) });
const configurationResponseSchema: z.ZodType<ConfigurationResponse> = z.object({
  ageMs: z.number().min(0),
  configuration: configurationSchema.optional(),
});

/** HTTP client of another entry box. Its methods never reject: a request without a valid response gives `undefined` or false. */
export class BoxClient implements AdviceClient {
  private readonly httpClient: HttpClient;
  /** Has its own connections, so that slow log writes do not block short requests. */
  private readonly writeHttpClient: HttpClient;

  constructor(readonly address: string) {
    this.httpClient = new HttpClient({ address, connections: MAX_CONNECTIONS });
    this.writeHttpClient = new HttpClient({ address, connections: MAX_WRITE_CONNECTIONS });
  }

  /** Requests tickets for a step on some endpoints through the box; undefined when it gets no response from the advice service in time. */
  async requestAdvice(
    step: string,
    endpoints: readonly EndpointId[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<EndpointId, string> | undefined> {
    const response = await this.httpClient.sendJson('/advice', { step, endpoints, timeoutMs }, timeoutMs);
    return parseTickets(response);
  }

  /** Requests the state of a job on behalf of a caller; undefined when the box does not lead or returns no state in time. */
  async requestJobState(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    const response = await this.httpClient.sendJson('/job-state', { id, caller, timeoutMs }, timeoutMs);
    return stateResponseSchema.safeParse(response).data?.state;
  }

  /** Requests the box to append a record of a job; undefined when it does not respond, in which case the record may have been written. */
  async requestWrite(write: LogWrite, timeoutMs: number): Promise<WriteOutcome | undefined> {
    const response = await this.writeHttpClient.sendJson('/write', { ...write, timeoutMs }, timeoutMs);
    return writeResponseSchema.safeParse(response).data?.outcome;
  }

  /** Requests the configuration if it is newer than a known version; undefined when the box does not respond. */
  async requestConfiguration(
    knownVersion: number,
    timeoutMs: number,
  ): Promise<ConfigurationResponse | undefined> {
    const response = await this.httpClient.sendJson('/configuration', { knownVersion }, timeoutMs);
    return configurationResponseSchema.safeParse(response).data;
  }

  /** Requests whether the box can use the log; `noAnswer` when it does not respond in time. */
  async requestLogStatus(): Promise<LogStatus> {
    const result = await this.httpClient.sendRequest({
      method: 'GET',
      path: '/log',
      timeoutMs: CONTROL_TIMEOUT_MS,
    });
    if (result.kind !== 'answered') {
      return 'noAnswer';
    }
    return result.status === 200 ? 'usable' : 'unusable';
  }

  /** Announces the leader and its address; undefined when the box did not confirm it. */
  async sendLeaderAnnouncement({
    record,
    ...contact
  }: LeaderAnnouncement): Promise<AnnouncementResponse | undefined> {
    const body = { ...record, ...contact };
    const response = await this.httpClient.sendJson('/leader', body, CONTROL_TIMEOUT_MS);
    return announcementResponseSchema.safeParse(response).data;
  }

  /** Asks the box to vouch for the leader of an epoch; undefined when it does not respond, or is of an earlier version. */
  async requestVouch(epoch: number): Promise<VouchResponse | undefined> {
    const response = await this.httpClient.sendJson('/vouch', { epoch }, CONTROL_TIMEOUT_MS);
    return vouchResponseSchema.safeParse(response).data;
  }

  /** Asks the box to lead next, after the leader of an epoch has stopped; false when it did not confirm it. */
  async sendHandover(epoch: number): Promise<boolean> {
    return (await this.httpClient.sendJson('/hand-over', { epoch }, CONTROL_TIMEOUT_MS)) !== undefined;
  }

  async stop(): Promise<void> {
    await Promise.all([this.httpClient.stop(), this.writeHttpClient.stop()]);
  }
}
