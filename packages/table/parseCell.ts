import type { Result } from '../common/Result';
import type { CellAddress } from './CellAddress';
import { nameSchema } from './nameSchema';
import { rowSchema } from './rowSchema';
import type { TableError } from './TableError';
import { teamSchema } from './teamSchema';

const COLUMNS = { row: Object.keys(rowSchema.shape), team: Object.keys(teamSchema.shape) } as const;

const createError = (cell: string, expected: string): Result<CellAddress, TableError> => ({
  ok: false,
  error: { kind: 'unknownCell', cell, expected },
});

/** Parses `row/NAME`, `row/NAME/COLUMN` or `team/NAME/COLUMN`. */
export const parseCell = (cell: string): Result<CellAddress, TableError> => {
  const [sheet, name, column, ...rest] = cell.split('/');
  if ((sheet !== 'row' && sheet !== 'team') || name === undefined || rest.length > 0) {
    return createError(cell, 'row/NAME/COLUMN, team/NAME/COLUMN or row/NAME');
  }
  if (!nameSchema.safeParse(name).success) {
    return createError(cell, 'a name of lower case letters, digits and dashes');
  }
  if (column === undefined) {
    return sheet === 'row' ? { ok: true, value: { sheet, name } } : createError(cell, 'team/NAME/COLUMN');
  }
  if (!COLUMNS[sheet].includes(column)) {
    return createError(cell, `a column of ${COLUMNS[sheet].join(', ')}`);
  }
  return { ok: true, value: { sheet, name, column } };
};
