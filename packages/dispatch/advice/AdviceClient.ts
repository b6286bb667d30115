import type { EndpointId } from '../../jobs/EndpointId';

/** Asks the advice service which of some endpoints may run a step. */
export interface AdviceClient {
  /** Gives the ticket of each endpoint that may; undefined when the service gave no answer. */
  requestAdvice(
    step: string,
    endpoints: readonly EndpointId[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<EndpointId, string> | undefined>;
  stop(): Promise<void>;
}
