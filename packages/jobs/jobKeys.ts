import type { JobId } from './JobId';

const DEFINITION = 'j/';
const CANCEL = 'c/';
const PROGRESS = 'p/';
const STATE = 's/';

const toIdOf = (prefix: string, key: string): JobId | undefined =>
  key.startsWith(prefix) ? (key.slice(prefix.length) as JobId) : undefined;

/** Keys of jobs in the log, and back. */
export const jobKeys = {
  toDefinitionKey: (id: JobId): string => `${DEFINITION}${id}`,
  toCancelKey: (id: JobId): string => `${CANCEL}${id}`,
  toProgressKey: (id: JobId): string => `${PROGRESS}${id}`,
  toStateKey: (id: JobId): string => `${STATE}${id}`,
  parseDefinitionKey: (key: string) => toIdOf(DEFINITION, key),
  parseCancelKey: (key: string) => toIdOf(CANCEL, key),
  parseProgressKey: (key: string) => toIdOf(PROGRESS, key),
  parseStateKey: (key: string) => toIdOf(STATE, key),
} as const;
