import { z } from 'zod';
import { parseLogLine } from '../timeline/parseLogLine';

const SAMPLED_OUT_MESSAGE = 'Lines left out.';
const sampledOutSchema = z.object({ share: z.string().regex(/^1\/\d+$/u) });

/**
 * Reads the highest sampling level that the log lines report; at level n, one in 2^n jobs was logged completely. Returns 0 when no line
 * reports that lines were sampled out.
 */
export const readSamplingLevel = (texts: Iterable<string>): number => {
  let samplingLevel = 0;
  for (const text of texts) {
    const line = text.includes(SAMPLED_OUT_MESSAGE) ? parseLogLine(text) : undefined;
    const share = sampledOutSchema.safeParse(line).data?.share;
    if (line?.message === SAMPLED_OUT_MESSAGE && share !== undefined) {
      samplingLevel = Math.max(samplingLevel, Math.log2(Number(share.slice(2))));
    }
  }
  return samplingLevel;
};
