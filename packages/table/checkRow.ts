import { z } from 'zod';
import type { Result } from '../common/Result';
import type { RowName } from '../common/RowName';
import type { Row } from './Row';
import { rowSchema } from './rowSchema';
import type { TableError } from './TableError';
import { tableRules } from './tableRules';

/** Checks a whole row: each column first, then the rules between columns. */
export const checkRow = (name: RowName, columns: unknown): Result<Row, TableError> => {
  const parsed = rowSchema.safeParse(columns);
  if (!parsed.success) {
    const expected = z.prettifyError(parsed.error).replaceAll('\n', ' ');
    return { ok: false, error: { kind: 'badValue', cell: `row/${name}`, expected } };
  }
  const row = { name, ...parsed.data } as Row;
  const broken = tableRules.find((rule) => !rule.isKept(row));
  if (broken !== undefined) {
    return { ok: false, error: { kind: 'rule', rule: broken.name, expected: broken.expected } };
  }
  return { ok: true, value: row };
};
