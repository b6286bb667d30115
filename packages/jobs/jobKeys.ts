import type { JobId } from './JobId';

const DEFINITION_PREFIX = 'j/';
const CANCEL_PREFIX = 'c/';
const PROGRESS_PREFIX = 'p/';
const STATE_PREFIX = 's/';

/** Returns the job id of a key with a prefix; undefined for any other key. */
const parseJobKey = (prefix: string, key: string): JobId | undefined =>
  key.startsWith(prefix) ? (key.slice(prefix.length) as JobId) : undefined;

/** Formats and parses the keys of job records in the log. */
export const jobKeys = {
  toDefinitionKey: (id: JobId): string => `${DEFINITION_PREFIX}${id}`,
  toCancelKey: (id: JobId): string => `${CANCEL_PREFIX}${id}`,
  toProgressKey: (id: JobId): string => `${PROGRESS_PREFIX}${id}`,
  toStateKey: (id: JobId): string => `${STATE_PREFIX}${id}`,
  parseDefinitionKey: (key: string) => parseJobKey(DEFINITION_PREFIX, key),
  parseCancelKey: (key: string) => parseJobKey(CANCEL_PREFIX, key),
  parseProgressKey: (key: string) => parseJobKey(PROGRESS_PREFIX, key),
  parseStateKey: (key: string) => parseJobKey(STATE_PREFIX, key),
} as const;
