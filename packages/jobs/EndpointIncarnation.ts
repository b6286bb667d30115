import type { Brand } from '../common/Brand';

/**
 * One process of an endpoint: the endpoint's id and the process's start in Unix milliseconds, as `endpointIncarnations` formats them.
 * A new incarnation has none of the runs of the previous one, numbers the ends of its runs from the beginning, has another monotonic
 * clock, and has seen no fencing token.
 */
export type EndpointIncarnation = Brand<string, 'EndpointIncarnation'>;
