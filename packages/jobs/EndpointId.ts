import type { Brand } from '../common/Brand';

/** Id of one life of an endpoint. A restarted endpoint has another id. */
export type EndpointId = Brand<string, 'EndpointId'>;
