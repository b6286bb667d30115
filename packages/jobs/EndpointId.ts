import type { Brand } from '../common/Brand';

/** Id of an endpoint: the key of its record. It is the same for every `EndpointIncarnation` of the endpoint. */
export type EndpointId = Brand<string, 'EndpointId'>;
