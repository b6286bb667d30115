import { parseJson } from '../common/parseJson';
import { digestSchema } from './digestSchema';
import type { LoadDigest } from './LoadDigest';

/** Parses the log record of a digest; undefined when it is malformed. */
export const parseDigest = (text: string): LoadDigest | undefined => {
  const parsed = digestSchema.safeParse(parseJson(text));
  return parsed.success ? parsed.data : undefined;
};
