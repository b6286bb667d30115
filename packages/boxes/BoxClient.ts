import { z } from 'zod';
import { HttpCaller } from '../common/HttpCaller';
import type { AdviceClient } from '../dispatch/AdviceClient';
import { toTickets } from '../dispatch/toTickets';
import type { EndpointId } from '../jobs/EndpointId';
import type { JobId } from '../jobs/JobId';
import type { JobState } from '../jobs/JobState';

const CONNECTIONS = 3;
const SHORT_CALL_MS = 200;

const stateAnswerSchema = z.object({
  state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled', 'absent']),
});

/** Calls another entry box: for its turn at the advice service, for what a leader knows, and to hand leadership over. */
export class BoxClient implements AdviceClient {
  private readonly caller: HttpCaller;

  constructor(readonly address: string) {
    this.caller = new HttpCaller({ address, connections: CONNECTIONS });
  }

  async sendQuestion(
    step: string,
    endpoints: readonly EndpointId[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<EndpointId, string> | undefined> {
    const answer = await this.caller.sendJson('/advice', { step, endpoints, timeoutMs }, timeoutMs);
    return toTickets(answer);
  }

  /** The state of a job as the box knows it while it leads; undefined when it does not answer. */
  async sendStateQuestion(id: JobId, timeoutMs: number): Promise<JobState | 'absent' | undefined> {
    const answer = await this.caller.sendJson('/job-state', { id, timeoutMs }, timeoutMs);
    return stateAnswerSchema.safeParse(answer).data?.state;
  }

  /** True when the box can use the log. */
  async isLogUsable(): Promise<boolean> {
    const result = await this.caller.sendCall({ method: 'GET', path: '/log', timeoutMs: SHORT_CALL_MS });
    return result.kind === 'answered' && result.status === 200;
  }

  /** Tells the box that the leader of an epoch has stopped and that it should lead next. */
  async sendHandOver(epoch: number): Promise<boolean> {
    return (await this.caller.sendJson('/hand-over', { epoch }, SHORT_CALL_MS)) !== undefined;
  }

  async stop(): Promise<void> {
    await this.caller.stop();
  }
}
