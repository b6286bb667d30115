import type { Brand } from '../common/Brand';

/** Number of a client at a call relay, unique for one connection. */
export type RelayClientId = Brand<number, 'RelayClientId'>;
