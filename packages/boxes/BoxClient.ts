import { HttpCaller } from '../common/HttpCaller';
import { parseJson } from '../common/parseJson';
import { toId } from '../common/toId';
import type { AdviceClient } from '../dispatch/AdviceClient';
import type { EndpointId } from '../jobs/EndpointId';

interface GoodAnswer {
  readonly good?: readonly (readonly [id: string, ticket: string])[];
}

const CONNECTIONS = 3;
const SHORT_CALL_MS = 200;
const JSON_HEADERS = { 'content-type': 'application/json' } as const;

/** Calls another entry box: for its turn at the advice service, and to hand leadership over. */
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
    const result = await this.caller.sendCall({
      method: 'POST',
      path: '/advice',
      headers: JSON_HEADERS,
      body: JSON.stringify({ step, endpoints, timeoutMs }),
      timeoutMs,
    });
    if (result.kind !== 'answered' || result.status !== 200) {
      return undefined;
    }
    const answer = (parseJson(result.body.toString('utf8')) ?? {}) as GoodAnswer;
    return new Map((answer.good ?? []).map(([id, ticket]) => [toId<EndpointId>(id), ticket]));
  }

  /** True when the box can use the log. */
  async isLogUsable(): Promise<boolean> {
    const result = await this.caller.sendCall({ method: 'GET', path: '/log', timeoutMs: SHORT_CALL_MS });
    return result.kind === 'answered' && result.status === 200;
  }

  /** Tells the box that the leader of an epoch has stopped and that it should lead next. */
  async sendHandOver(epoch: number): Promise<boolean> {
    const result = await this.caller.sendCall({
      method: 'POST',
      path: '/hand-over',
      headers: JSON_HEADERS,
      body: JSON.stringify({ epoch }),
      timeoutMs: SHORT_CALL_MS,
    });
    return result.kind === 'answered' && result.status === 200;
  }

  async stop(): Promise<void> {
    await this.caller.stop();
  }
}
