import type { Brand } from './Brand';

/** Id of one incarnation of an entry process: `BOX#INCARNATION`. Changes with each restart. */
export type ProcessId = Brand<string, 'ProcessId'>;
