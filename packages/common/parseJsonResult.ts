import type { HttpResult } from './HttpResult';
import { parseJson } from './parseJson';

/** Returns the body of a 200 response ({} if it is no JSON); undefined for any other result. */
export const parseJsonResult = (result: HttpResult): unknown =>
  result.kind === 'answered' && result.status === 200
    ? (parseJson(result.body.toString('utf8')) ?? {})
    : undefined;
