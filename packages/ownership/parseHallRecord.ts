import { z } from 'zod';
import type { HallRecord } from './HallRecord';

const view = z.object({ number: z.int().min(1), id: z.string(), members: z.array(z.string()) });
const schema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('view'), view, proposer: z.string() }),
  z.object({ kind: z.literal('standing'), view, asOf: z.int() }),
  z.object({ kind: z.literal('ended'), process: z.string(), operator: z.string() }),
]);

/** Parses a record of a hall's stream; undefined when it is not understood. */
export const parseHallRecord = (value: unknown): HallRecord | undefined => {
  const parsed = schema.safeParse(value);
  return parsed.success ? (parsed.data as unknown as HallRecord) : undefined;
};
