import type { Brand } from '../common/Brand';

/** Name of one stream of the platform's log. */
export type StreamName = Brand<string, 'StreamName'>;
