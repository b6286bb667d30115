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

/** Returns the job id of a key of progress, and the part if it is one; undefined for any other key. */
const parseProgressKey = (
  key: string,
): { readonly job: JobId; readonly part: number | undefined } | undefined => {
  const [, job, part] = /^p\/([^/]+)(?:\/(\d+))?$/.exec(key) ?? [];
  return job === undefined
    ? undefined
    : { job: job as JobId, part: part === undefined ? undefined : Number(part) };
};

/** Formats and parses the keys of job records in the log. */
export const jobKeys = {
  toDefinitionKey: (id: JobId): string => `${DEFINITION_PREFIX}${id}`,
  toCancelKey: (id: JobId): string => `${CANCEL_PREFIX}${id}`,
  /** Formats the key of the cancellation of an unknown job. Each caller has its own, so that none replaces that of another. */
  toEarlyCancelKey: (id: JobId, caller: JobCaller): string =>
    `${EARLY_CANCEL_PREFIX}${id}/${toCallerDigest(caller)}`,
  toProgressKey: (id: JobId): string => `${PROGRESS_PREFIX}${id}`,
  /** Formats the key of a part of a job's progress. Earlier versions take it for that of an unknown job. */
  toProgressPartKey: (id: JobId, part: number): string => `${PROGRESS_PREFIX}${id}/${part}`,
  toStateKey: (id: JobId): string => `${STATE_PREFIX}${id}`,
  parseDefinitionKey: (key: string) => parseJobKey(DEFINITION_PREFIX, key),
  parseCancelKey: (key: string) => parseJobKey(CANCEL_PREFIX, key),
  parseEarlyCancelKey: (key: string) => parseJobKey(EARLY_CANCEL_PREFIX, key.slice(0, key.lastIndexOf('/'))),
  parseProgressKey,
  parseStateKey: (key: string) => parseJobKey(STATE_PREFIX, key),
} as const;
