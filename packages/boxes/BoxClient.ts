import { z } from 'zod';
import type { Clock } from '../common/Clock';
import { HttpClient } from '../common/HttpClient';
import { parseJsonResult } from '../common/parseJsonResult';
import type { HttpResult } from '../common/HttpResult';
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

interface BoxClientOptions {
  /** Host and port. */
  readonly address: string;
  readonly clock: Clock;
  /** Called for each response, whatever it says: it shows that the box lives. */
  readonly handleResponse: () => void;
  /** Called for an advice request or a probe, sent at a monotonic time, without a response. Other timeouts are too short to show that the box is lost. */
  readonly handleFailure: (sentAt: number) => void;
}

/** Connections for advice requests, job states and configurations. */
const MAX_CONNECTIONS = 3;
const MAX_WRITE_CONNECTIONS = 4;
const MAX_CONTROL_CONNECTIONS = 3;
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
  readonly address: string;
  private readonly httpClient: HttpClient;
  /** Has its own connections, so that slow log writes do not block short requests. */
  private readonly writeHttpClient: HttpClient;
  /** Has its own connections, so that requests to a box that says nothing do not delay the search for a leader. */
  private readonly controlHttpClient: HttpClient;

  constructor(private readonly options: BoxClientOptions) {
    const { address } = options;
    this.address = address;
    this.httpClient = new HttpClient({ address, connections: MAX_CONNECTIONS });
    this.writeHttpClient = new HttpClient({ address, connections: MAX_WRITE_CONNECTIONS });
    this.controlHttpClient = new HttpClient({ address, connections: MAX_CONTROL_CONNECTIONS });
  }

  /** Requests tickets for a step on some endpoints through the box; undefined when it gets no response from the advice service in time. */
  async requestAdvice(
    step: string,
    endpoints: readonly EndpointId[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<EndpointId, string> | undefined> {
    const sentAt = this.options.clock.getNow();
    const result = await this.sendJson(this.httpClient, '/advice', { step, endpoints, timeoutMs }, timeoutMs);
    this.recordFailure(result, sentAt);
    return parseTickets(parseJsonResult(result));
  }

  /** Requests the state of a job on behalf of a caller; undefined when the box does not lead or returns no state in time. */
  async requestJobState(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    const response = await this.requestJson(
      this.httpClient,
      '/job-state',
      { id, caller, timeoutMs },
      timeoutMs,
    );
    return stateResponseSchema.safeParse(response).data?.state;
  }

  /** Requests the box to append a record of a job; undefined when it does not respond, in which case the record may have been written. */
  async requestWrite(write: LogWrite, timeoutMs: number): Promise<WriteOutcome | undefined> {
    const response = await this.requestJson(
      this.writeHttpClient,
      '/write',
      { ...write, timeoutMs },
      timeoutMs,
    );
    return writeResponseSchema.safeParse(response).data?.outcome;
  }

  /** Requests the configuration if it is newer than a known version; undefined when the box does not respond. */
  async requestConfiguration(
    knownVersion: number,
    timeoutMs: number,
  ): Promise<ConfigurationResponse | undefined> {
    const response = await this.requestJson(this.httpClient, '/configuration', { knownVersion }, timeoutMs);
    return configurationResponseSchema.safeParse(response).data;
  }

  /** Requests whether the box can use the log; `noAnswer` when it does not respond in time. */
  async requestLogStatus(): Promise<LogStatus> {
    const result = await this.sendGet('/log', CONTROL_TIMEOUT_MS);
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
    const response = await this.requestControl('/leader', body);
    return announcementResponseSchema.safeParse(response).data;
  }

  /** Asks the box to vouch for the leader of an epoch; undefined when it does not respond, or is of an earlier version. */
  async requestVouch(epoch: number): Promise<VouchResponse | undefined> {
    const response = await this.requestControl('/vouch', { epoch });
    return vouchResponseSchema.safeParse(response).data;
  }

  /** Asks the box to lead next, after the leader of an epoch has stopped; false when it did not confirm it. */
  async sendHandover(epoch: number): Promise<boolean> {
    return (await this.requestControl('/hand-over', { epoch })) !== undefined;
  }

  /** Probes whether the box responds within a timeout in milliseconds. */
  async sendProbe(timeoutMs: number): Promise<void> {
    const sentAt = this.options.clock.getNow();
    this.recordFailure(await this.sendGet('/alive', timeoutMs), sentAt);
  }

  async stop(): Promise<void> {
    await Promise.all([this.httpClient.stop(), this.writeHttpClient.stop(), this.controlHttpClient.stop()]);
  }

  private requestControl(path: string, value: object): Promise<unknown> {
    return this.requestJson(this.controlHttpClient, path, value, CONTROL_TIMEOUT_MS);
  }

  /** Posts a value as JSON, and returns the body of a 200 response ({} if it is no JSON); else undefined. */
  private async requestJson(
    client: HttpClient,
    path: string,
    value: object,
    timeoutMs: number,
  ): Promise<unknown> {
    return parseJsonResult(await this.sendJson(client, path, value, timeoutMs));
  }

  private async sendJson(
    client: HttpClient,
    path: string,
    value: object,
    timeoutMs: number,
  ): Promise<HttpResult> {
    const result = await client.sendJsonRequest(path, value, timeoutMs);
    this.recordResponse(result);
    return result;
  }

  private async sendGet(path: string, timeoutMs: number): Promise<HttpResult> {
    const result = await this.controlHttpClient.sendRequest({ method: 'GET', path, timeoutMs });
    this.recordResponse(result);
    return result;
  }

  private recordResponse(result: HttpResult): void {
    if (result.kind === 'answered') {
      this.options.handleResponse();
    }
  }

  private recordFailure(result: HttpResult, sentAt: number): void {
    if (result.kind !== 'answered') {
      this.options.handleFailure(sentAt);
    }
  }
}
