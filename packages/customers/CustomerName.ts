import type { Brand } from '../common/Brand';

/** Name of a customer in the operator's configuration. */
export type CustomerName = Brand<string, 'CustomerName'>;
