import { toId } from '../../common/toId';
import type { EndpointId } from '../../jobs/EndpointId';

interface GoodAnswer {
  readonly good?: readonly (readonly [id: string, ticket: string])[];
}

/** The ticket of each endpoint in an answer to a question for advice; undefined when there was no answer. */
export const parseTickets = (answer: unknown): ReadonlyMap<EndpointId, string> | undefined =>
  answer === undefined
    ? undefined
    : new Map(((answer as GoodAnswer).good ?? []).map(([id, ticket]) => [toId<EndpointId>(id), ticket]));
