import { toId } from '../common/toId';
import type { EndpointId } from './EndpointId';
import type { EndpointIncarnation } from './EndpointIncarnation';

const WITH_START = /^(.*)@\d+$/;

/** Names the life of an endpoint. One that does not tell its start has a single life under its id. */
const toIncarnation = (id: EndpointId, bornAtMs: number | undefined): EndpointIncarnation =>
  toId<EndpointIncarnation>(bornAtMs === undefined ? id : `${id}@${bornAtMs}`);

/** The endpoint that a life is one of. */
const toEndpointId = (life: EndpointIncarnation): EndpointId =>
  toId<EndpointId>(WITH_START.exec(life)?.[1] ?? life);

/** True when an id can't be told from the name of a life. */
const isIncarnationName = (id: string): boolean => WITH_START.test(id);

/** The names of endpoints' lives. */
export const endpointIncarnations = {
  toLife: toIncarnation,
  readEndpoint: toEndpointId,
  isLikeLife: isIncarnationName,
} as const;
