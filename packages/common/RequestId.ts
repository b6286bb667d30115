import type { Brand } from './Brand';

/** Id of one request or task, made by the entry process that took it. */
export type RequestId = Brand<string, 'RequestId'>;
