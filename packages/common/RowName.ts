import type { Brand } from './Brand';

/** Name of a row of the operators' table: one workload. */
export type RowName = Brand<string, 'RowName'>;
