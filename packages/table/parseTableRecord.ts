import { z } from 'zod';
import type { TableRecord } from './TableRecord';

const edit = z.object({
  kind: z.literal('edit'),
  editId: z.string().min(1),
  cell: z.string(),
  value: z.union([
    z.string(),
    z.number(),
    z.boolean(),
    z.null(),
    z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
  ]),
  basedOn: z.int(),
  operator: z.string(),
});

const snapshot = z.object({
  kind: z.literal('snapshot'),
  asOf: z.int(),
  rows: z.array(z.looseObject({ name: z.string() })),
  teams: z.array(z.looseObject({ name: z.string() })),
  cells: z.array(z.looseObject({ cell: z.string() })),
  history: z.array(z.looseObject({ editId: z.string() })),
});

const schema = z.discriminatedUnion('kind', [edit, snapshot]);

/** Parses a record of the table's stream. One that is not understood becomes void, the same for every reader. */
export const parseTableRecord = (value: unknown): TableRecord => {
  const parsed = schema.safeParse(value);
  return parsed.success ? (parsed.data as unknown as TableRecord) : { kind: 'void' };
};
