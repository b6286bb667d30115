import type { RowName } from '../../packages/common/RowName';
import { toId } from '../../packages/common/toId';
import { checkRow } from '../../packages/table/checkRow';
import type { Row } from '../../packages/table/Row';

/** Gives a checked row; throws when its columns are wrong. */
export const toRow = (name: string, columns: Partial<Omit<Row, 'name' | 'team'>> & { team: string }): Row => {
  const row = checkRow(toId<RowName>(name), columns);
  if (!row.ok) {
    throw new Error(JSON.stringify(row.error));
  }
  return row.value;
};
