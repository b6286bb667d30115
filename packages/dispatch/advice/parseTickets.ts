import { toId } from '../../common/toId';
import type { EndpointId } from '../../jobs/EndpointId';

interface AdviceResponse {
  readonly good?: readonly (readonly [id: string, ticket: string])[];
}

/** Returns the ticket of each allowed endpoint in a response of the advice service; undefined when `response` is. */
export const parseTickets = (response: unknown): ReadonlyMap<EndpointId, string> | undefined =>
  response === undefined
    ? undefined
    : new Map(
        ((response as AdviceResponse).good ?? []).map(([id, ticket]) => [toId<EndpointId>(id), ticket]),
      );
