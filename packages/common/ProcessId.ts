import type { Brand } from './Brand';

/** One start of an entry process: `BOX#INCARNATION`. A restarted box has a new ProcessId. */
export type ProcessId = Brand<string, 'ProcessId'>;
