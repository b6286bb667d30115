import type { Brand } from '../common/Brand';

/**
 * One life of an endpoint, from its start to its end: its id and the Unix millisecond of its start, as `endpointLives` writes them. Another life
 * under the same id runs nothing of before, counts its ends and its clock anew, and has seen no fencing token.
 */
export type EndpointIncarnation = Brand<string, 'EndpointLife'>;
