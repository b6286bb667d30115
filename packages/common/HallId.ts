import type { Brand } from './Brand';

/** Name of a data hall. */
export type HallId = Brand<string, 'HallId'>;
