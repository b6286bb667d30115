import type { IncomingHttpHeaders } from 'node:http';
import type { RequestId } from '../common/RequestId';
import type { Result } from '../common/Result';
import type { RowName } from '../common/RowName';
import type { TeamName } from '../common/TeamName';
import { toId } from '../common/toId';
import { nameSchema } from '../table/nameSchema';
import type { Call } from './Call';
import { headerNames } from './headerNames';

interface CallSource {
  readonly id: RequestId;
  readonly row: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly isForwarded: boolean;
}

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;
const MAX_DEADLINE_MS = 24 * 3_600_000;
const FORWARDED_HEADERS = ['content-type', 'x-run-ms'] as const;

const parseDeadline = (text: string | undefined): Result<number | undefined, string> => {
  if (text === undefined) {
    return { ok: true, value: undefined };
  }
  const value = Number(text);
  const isValid = /^\d+$/.test(text) && value >= 1 && value <= MAX_DEADLINE_MS;
  return isValid
    ? { ok: true, value }
    : {
        ok: false,
        error: `${headerNames.deadline}: expected whole milliseconds from 1 to ${MAX_DEADLINE_MS}`,
      };
};

/** Returns the first value of a header, or undefined. */
const getHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const getForwardedHeaders = (headers: IncomingHttpHeaders): Record<string, string> => {
  const forwarded: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = getHeader(headers, name);
    if (value !== undefined) {
      forwarded[name] = value;
    }
  }
  return forwarded;
};

/** Parses a caller's request and validates its headers. The error names the header and the expected value. */
export const parseCall = (source: CallSource): Result<Call, string> => {
  const deadline = parseDeadline(getHeader(source.headers, headerNames.deadline));
  if (!deadline.ok) {
    return deadline;
  }
  const team = getHeader(source.headers, headerNames.team);
  if (team !== undefined && !nameSchema.safeParse(team).success) {
    return { ok: false, error: `${headerNames.team}: expected a team name` };
  }
  const key = getHeader(source.headers, headerNames.idempotencyKey);
  if (key !== undefined && !KEY_PATTERN.test(key)) {
    return { ok: false, error: `${headerNames.idempotencyKey}: expected 1 to 200 visible ASCII characters` };
  }
  const value: Call = {
    id: source.id,
    row: toId<RowName>(source.row),
    team: team === undefined ? undefined : toId<TeamName>(team),
    deadlineMs: deadline.value,
    idempotencyKey: key,
    body: source.body,
    forwardedHeaders: getForwardedHeaders(source.headers),
    isForwarded: source.isForwarded,
    isLookup: source.isForwarded && getHeader(source.headers, headerNames.lookup) === '1',
  };
  return { ok: true, value };
};
