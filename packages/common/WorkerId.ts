import type { Brand } from './Brand';

/** Name of a worker: one endpoint box that runs tasks. */
export type WorkerId = Brand<string, 'WorkerId'>;
