import { parseJson } from '../common/parseJson';
import { digestSchema } from './digestSchema';
import type { LoadDigest } from './LoadDigest';

/** Reads a digest from the log; undefined for text that is none. */
export const parseDigest = (text: string): LoadDigest | undefined => {
  const parsed = digestSchema.safeParse(parseJson(text));
  return parsed.success ? parsed.data : undefined;
};
