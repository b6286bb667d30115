import type { EndpointId } from '../../jobs/EndpointId';

/** Requests advice from the service: which of some endpoints may run a step. */
export interface AdviceClient {
  /** Resolves to the ticket of each allowed endpoint; to undefined when there was no response. */
  requestAdvice(
    step: string,
    endpoints: readonly EndpointId[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<EndpointId, string> | undefined>;
  stop(): Promise<void>;
}
