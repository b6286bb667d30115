import { toId } from '../common/toId';
import type { EndpointId } from './EndpointId';
import type { EndpointIncarnation } from './EndpointIncarnation';

const INCARNATION_PATTERN = /^(.*)@\d+$/;

/** Returns the name of an incarnation. An endpoint that does not report its start has a single incarnation, named by its id. */
const toIncarnation = (id: EndpointId, startedAtMs: number | undefined): EndpointIncarnation =>
  toId<EndpointIncarnation>(startedAtMs === undefined ? id : `${id}@${startedAtMs}`);

/** Returns the id of the endpoint that an incarnation belongs to: its name without the start time. */
const toEndpointId = (incarnation: EndpointIncarnation): EndpointId =>
  toId<EndpointId>(INCARNATION_PATTERN.exec(incarnation)?.[1] ?? incarnation);

/** Returns true for an id that could be taken for the name of an incarnation. */
const isIncarnationName = (id: string): boolean => INCARNATION_PATTERN.test(id);

/** Conversions between endpoint ids and the names of incarnations. */
export const endpointIncarnations = {
  toIncarnation,
  toEndpointId,
  isIncarnationName,
} as const;
