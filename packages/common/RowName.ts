import type { Brand } from './Brand';

/** Name of a workload, which is one row of the operators' table. */
export type RowName = Brand<string, 'RowName'>;
