import { HttpCaller } from '../common/HttpCaller';
import { parseJson } from '../common/parseJson';
import { toId } from '../common/toId';
import type { AdviceClient } from '../dispatch/AdviceClient';
import type { EndpointId } from '../jobs/EndpointId';

interface GoodAnswer {
  readonly good?: readonly (readonly [id: string, ticket: string])[];
}

const CONNECTIONS = 2;

/** Asks the advice service through another entry box, which has a turn of its own there. */
export class BoxAdviceClient implements AdviceClient {
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
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ step, endpoints, timeoutMs }),
      timeoutMs,
    });
    if (result.kind !== 'answered' || result.status !== 200) {
      return undefined;
    }
    const answer = (parseJson(result.body.toString('utf8')) ?? {}) as GoodAnswer;
    return new Map((answer.good ?? []).map(([id, ticket]) => [toId<EndpointId>(id), ticket]));
  }

  async stop(): Promise<void> {
    await this.caller.stop();
  }
}
