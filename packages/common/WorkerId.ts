import type { Brand } from './Brand';

/** Name of a worker, which is an endpoint that runs tasks. */
export type WorkerId = Brand<string, 'WorkerId'>;
