import type { Brand } from './Brand';

/** Id of one request or task, assigned by the entry process that accepted it. */
export type RequestId = Brand<string, 'RequestId'>;
