import { createHash } from 'node:crypto';
import type { JobCaller } from '../customers/JobCaller';
import type { JobId } from './JobId';

const DEFINITION_PREFIX = 'j/';
const CANCEL_PREFIX = 'c/';
const EARLY_CANCEL_PREFIX = 'e/';
const PROGRESS_PREFIX = 'p/';
const STATE_PREFIX = 's/';

/** Returns the job id of a key with a prefix; undefined for any other key. */
const parseJobKey = (prefix: string, key: string): JobId | undefined =>
  key.startsWith(prefix) ? (key.slice(prefix.length) as JobId) : undefined;

/** Returns a text that differs between callers with different rights, and is short enough for a key. */
const toCallerDigest = ({ queue, isOpen, customer }: JobCaller): string =>
  createHash('sha256')
    .update(JSON.stringify([customer ?? '', isOpen ? queue : '']))
    .digest('base64url');

/** Formats and parses the keys of job records in the log. */
export const jobKeys = {
  toDefinitionKey: (id: JobId): string => `${DEFINITION_PREFIX}${id}`,
  toCancelKey: (id: JobId): string => `${CANCEL_PREFIX}${id}`,
  /** Formats the key of the cancellation of an unknown job. Each caller has its own, so that none replaces that of another. */
  toEarlyCancelKey: (id: JobId, caller: JobCaller): string =>
    `${EARLY_CANCEL_PREFIX}${id}/${toCallerDigest(caller)}`,
  toProgressKey: (id: JobId): string => `${PROGRESS_PREFIX}${id}`,
  toStateKey: (id: JobId): string => `${STATE_PREFIX}${id}`,
  parseDefinitionKey: (key: string) => parseJobKey(DEFINITION_PREFIX, key),
  parseCancelKey: (key: string) => parseJobKey(CANCEL_PREFIX, key),
  parseEarlyCancelKey: (key: string) => parseJobKey(EARLY_CANCEL_PREFIX, key.slice(0, key.lastIndexOf('/'))),
  parseProgressKey: (key: string) => parseJobKey(PROGRESS_PREFIX, key),
  parseStateKey: (key: string) => parseJobKey(STATE_PREFIX, key),
} as const;
