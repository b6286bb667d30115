import type { Brand } from '../common/Brand';

/** Number of a call at a call relay, unique for one connection. */
export type RelayCallId = Brand<number, 'RelayCallId'>;
