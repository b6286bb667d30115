import { parseJson } from '../common/parseJson';
import type { RelayCallId } from './RelayCallId';

/** Longest body that is sent to the leader. */
const MAX_BODY_LENGTH = 4_194_304;

/**
 * Formats the reply with the response to a call. A body that is JSON becomes the reply's value as it is, since not each value that can be parsed
 * can be formatted again; any other becomes null, as does one that is too long.
 */
export const formatAnswer = (call: RelayCallId, status: number, body: string): string => {
  const isJson = body.length <= MAX_BODY_LENGTH && parseJson(body) !== undefined;
  return `{"kind":"answer","call":${call},"status":${status},"value":${isJson ? body : 'null'}}`;
};
