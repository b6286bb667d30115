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
import type { LogWrite } from '../store/LogWrite';
import type { WriteOutcome } from '../store/WriteOutcome';
import type { ConfigurationAnswer } from './ConfigurationAnswer';
import type { LogUse } from './LogUse';

const CONNECTIONS = 3;
const WRITE_CONNECTIONS = 4;
const SHORT_CALL_MS = 200;

const stateAnswerSchema = z.object({
  state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled', 'absent']),
});

const writeAnswerSchema = z.object({ outcome: z.enum(['written', 'refused', 'unknown']) });
const configurationAnswerSchema: z.ZodType<ConfigurationAnswer> = z.object({
  ageMs: z.number().min(0),
  configuration: configurationSchema.optional(),
});

/** Calls another entry box: for its turn at the advice service, for what a leader knows, and to hand leadership over. */
export class BoxClient implements AdviceClient {
  private readonly caller: HttpClient;
  /** Writes take as long as the log does, and must not keep short questions waiting. */
  private readonly writes: HttpClient;

  constructor(readonly address: string) {
    this.caller = new HttpClient({ address, connections: CONNECTIONS });
    this.writes = new HttpClient({ address, connections: WRITE_CONNECTIONS });
  }

  async requestAdvice(
    step: string,
    endpoints: readonly EndpointId[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<EndpointId, string> | undefined> {
    const answer = await this.caller.sendJson('/advice', { step, endpoints, timeoutMs }, timeoutMs);
    return parseTickets(answer);
  }

  /** The state of a job for a caller, as the box knows it while it leads; undefined when it does not answer. */
  async sendStateQuestion(
    id: JobId,
    caller: JobCaller,
    timeoutMs: number,
  ): Promise<JobState | 'absent' | undefined> {
    const answer = await this.caller.sendJson('/job-state', { id, caller, timeoutMs }, timeoutMs);
    return stateAnswerSchema.safeParse(answer).data?.state;
  }

  /** Has the box append a record of a job; undefined when it gives no answer: it may have done it. */
  async sendWrite(write: LogWrite, timeoutMs: number): Promise<WriteOutcome | undefined> {
    const answer = await this.writes.sendJson('/write', { ...write, timeoutMs }, timeoutMs);
    return writeAnswerSchema.safeParse(answer).data?.outcome;
  }

  /** What the box knows of the configuration, whole if it is newer than a version; undefined when it does not answer. */
  async sendConfigurationQuestion(
    knownVersion: number,
    timeoutMs: number,
  ): Promise<ConfigurationAnswer | undefined> {
    const answer = await this.caller.sendJson('/configuration', { knownVersion }, timeoutMs);
    return configurationAnswerSchema.safeParse(answer).data;
  }

  /** Asks the box whether it can use the log. */
  async sendLogQuestion(): Promise<LogUse> {
    const result = await this.caller.sendRequest({ method: 'GET', path: '/log', timeoutMs: SHORT_CALL_MS });
    if (result.kind !== 'answered') {
      return 'noAnswer';
    }
    return result.status === 200 ? 'usable' : 'unusable';
  }

  /** Tells the box who leads and where; false when it did not take it in. */
  async sendIntroduction({ record, ...contact }: LeaderAnnouncement): Promise<boolean> {
    const body = { ...record, ...contact };
    return (await this.caller.sendJson('/leader', body, SHORT_CALL_MS)) !== undefined;
  }

  /** Tells the box that the leader of an epoch has stopped and that it should lead next. */
  async sendHandOver(epoch: number): Promise<boolean> {
    return (await this.caller.sendJson('/hand-over', { epoch }, SHORT_CALL_MS)) !== undefined;
  }

  async stop(): Promise<void> {
    await Promise.all([this.caller.stop(), this.writes.stop()]);
  }
}
