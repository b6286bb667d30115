import type { EndpointId } from '../../jobs/EndpointId';

/** Client of the advice service, which decides on which endpoints a step may run. */
export interface AdviceClient {
  /**
   * Requests tickets for a step (see `toStepName`) on some endpoints. Resolves to the ticket of each allowed endpoint; to undefined when
   * there was no response within the timeout.
   */
  requestAdvice(
    step: string,
    endpoints: readonly EndpointId[],
    timeoutMs: number,
  ): Promise<ReadonlyMap<EndpointId, string> | undefined>;
  stop(): Promise<void>;
}
