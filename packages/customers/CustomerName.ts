import type { Brand } from '../common/Brand';

/** Name of a customer, as the operator's configuration gives it. */
export type CustomerName = Brand<string, 'CustomerName'>;
