import type { RowName } from '../../packages/common/RowName';
import { toId } from '../../packages/common/toId';
import { checkRow } from '../../packages/table/checkRow';
import type { Row } from '../../packages/table/Row';

/** Creates a checked row from the columns that a test cares about. */
export const createRow = (name: string, columns: Partial<Omit<Row, 'name'>> = {}): Row => {
  const row = checkRow(toId<RowName>(name), { class: 'service', team: 'clinicians', ...columns });
  if (!row.ok) {
    throw new Error(JSON.stringify(row.error));
  }
  return row.value;
};
