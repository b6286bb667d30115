import type { AppliedEdit } from './AppliedEdit';
import { checkEdit } from './checkEdit';
import { TABLE_LIMITS } from './constants';
import type { Edit } from './Edit';
import { formatTableError } from './formatTableError';
import type { TableChange } from './TableChange';
import type { TableRecord } from './TableRecord';
import type { TableState } from './TableState';

type Sheets = Pick<TableState, 'rows' | 'teams'>;

const applyChange = (table: TableState, change: TableChange): Sheets => {
  const rows = new Map(table.rows);
  const teams = new Map(table.teams);
  switch (change.kind) {
    case 'putRow':
      rows.set(change.row.name, change.row);
      break;
    case 'removeRow':
      rows.delete(change.name);
      break;
    case 'putTeam':
      teams.set(change.team.name, change.team);
      break;
  }
  return { rows, teams };
};

const foldEdit = (table: TableState, edit: Edit, offset: number): TableState => {
  if (table.history.some((past) => past.editId === edit.editId)) {
    // A retried append can land twice; the first landing has decided.
    return { ...table, offset };
  }
  const { editId, cell, value, operator } = edit;
  const checked = checkEdit(table, edit);
  const decided: AppliedEdit = checked.ok
    ? { offset, editId, cell, value, operator, decision: 'accepted' }
    : { offset, editId, cell, value, operator, decision: 'refused', reason: formatTableError(checked.error) };
  const history = [...table.history, decided].slice(-TABLE_LIMITS.history);
  if (!checked.ok) {
    return { ...table, offset, history };
  }
  const cells = new Map(table.cells).set(cell, decided);
  return { ...table, ...applyChange(table, checked.value), cells, history, offset };
};

/**
 * Folds the record at `offset` into a shared table. All processes fold the same records in offset order,
 * so a race between operators has the same winner everywhere. A record already folded changes nothing.
 */
export const foldRecord = (table: TableState, record: TableRecord, offset: number): TableState => {
  if (offset <= table.offset) {
    return table;
  }
  return record.kind === 'edit' ? foldEdit(table, record, offset) : { ...table, offset };
};
