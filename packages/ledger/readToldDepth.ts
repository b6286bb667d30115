import { z } from 'zod';
import { parseLogLine } from '../timeline/parseLogLine';

const LEFT_OUT_SENTENCE = 'Lines left out.';
const leftOutSchema = z.object({ share: z.string().regex(/^1\/\d+$/u) });

/** The depth of the smallest share of jobs that any of the logs told whole: 0 where no line of a job was left out. */
export const readToldDepth = (texts: Iterable<string>): number => {
  let depth = 0;
  for (const text of texts) {
    const line = text.includes(LEFT_OUT_SENTENCE) ? parseLogLine(text) : undefined;
    const share = leftOutSchema.safeParse(line).data?.share;
    if (line?.message === LEFT_OUT_SENTENCE && share !== undefined) {
      depth = Math.max(depth, Math.log2(Number(share.slice(2))));
    }
  }
  return depth;
};
