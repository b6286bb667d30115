import type { Brand } from '../common/Brand';

/** Name of a service, the pool of endpoints that runs the tasks of a queue. */
export type ServiceName = Brand<string, 'ServiceName'>;
