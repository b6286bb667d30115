import type { LedgerCause } from './LedgerCause';

/** All causes, in the order in which they occur in a job. */
export const ledgerCauses: readonly LedgerCause[] = [
  'accept',
  'handOver',
  'round',
  'turn',
  'answer',
  'room',
  'limit',
  'bound',
  'pause',
  'record',
  'start',
  'running',
  'failed',
  'stopped',
  'lost',
  'retry',
  'noted',
  'leader',
  'unknown',
];
