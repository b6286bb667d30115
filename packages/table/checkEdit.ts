import type { Result } from '../common/Result';
import type { RowName } from '../common/RowName';
import { toId } from '../common/toId';
import type { TeamName } from '../common/TeamName';
import { checkRow } from './checkRow';
import type { CellAddress } from './CellAddress';
import type { Edit } from './Edit';
import { parseCell } from './parseCell';
import type { Row } from './Row';
import type { TableChange } from './TableChange';
import type { TableError } from './TableError';
import type { TableState } from './TableState';
import type { Team } from './Team';
import { teamSchema } from './teamSchema';

type Checked = Result<TableChange, TableError>;

/** The columns of a row or team without its name. */
const toColumns = (named: Row | Team): object =>
  Object.fromEntries(Object.entries(named).filter(([column]) => column !== 'name'));

const checkOvertaken = (table: TableState, edit: Edit): TableError | undefined => {
  const last = table.cells.get(edit.cell);
  if (last === undefined || last.offset === edit.basedOn) {
    return undefined;
  }
  const { editId, operator, offset } = last;
  return { kind: 'overtaken', byEditId: editId, byOperator: operator, atOffset: offset };
};

const checkWholeRow = (table: TableState, name: RowName, edit: Edit): Checked => {
  if (edit.value === null) {
    return table.rows.has(name)
      ? { ok: true, value: { kind: 'removeRow', name } }
      : { ok: false, error: { kind: 'unknownCell', cell: edit.cell, expected: 'a row of the table' } };
  }
  if (table.rows.has(name)) {
    return {
      ok: false,
      error: { kind: 'rule', rule: 'row-is-new', expected: 'a row that is not in the table yet' },
    };
  }
  const row = checkRow(name, edit.value);
  return row.ok ? { ok: true, value: { kind: 'putRow', row: row.value } } : row;
};

const checkRowCell = (table: TableState, address: CellAddress, edit: Edit): Checked => {
  const name = toId<RowName>(address.name);
  if (address.column === undefined) {
    return checkWholeRow(table, name, edit);
  }
  const current = table.rows.get(name);
  if (current === undefined) {
    return { ok: false, error: { kind: 'unknownCell', cell: edit.cell, expected: 'a row of the table' } };
  }
  const row = checkRow(name, { ...toColumns(current), [address.column]: edit.value });
  return row.ok ? { ok: true, value: { kind: 'putRow', row: row.value } } : row;
};

const checkTeamCell = (table: TableState, address: CellAddress, edit: Edit): Checked => {
  const name = toId<TeamName>(address.name);
  const current = table.teams.get(name) ?? { name, maxRunning: 0, maxQueued: 0 };
  const parsed = teamSchema.safeParse({ ...toColumns(current), [address.column ?? '']: edit.value });
  if (!parsed.success) {
    const expected = parsed.error.issues.map((issue) => issue.message).join('; ');
    return { ok: false, error: { kind: 'badValue', cell: edit.cell, expected } };
  }
  return { ok: true, value: { kind: 'putTeam', team: { name, ...parsed.data } } };
};

const SHEET_CHECKS = { row: checkRowCell, team: checkTeamCell } as const;

/** Checks an edit against a table: gives the change it makes, or the reason it is refused. */
export const checkEdit = (table: TableState, edit: Edit): Checked => {
  const overtaken = checkOvertaken(table, edit);
  if (overtaken !== undefined) {
    return { ok: false, error: overtaken };
  }
  const address = parseCell(edit.cell);
  if (!address.ok) {
    return address;
  }
  return SHEET_CHECKS[address.value.sheet](table, address.value, edit);
};
