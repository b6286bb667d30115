import type { TableSnapshot } from './TableSnapshot';
import type { TableState } from './TableState';

/** Creates the snapshot record of a table. */
export const createSnapshot = (table: TableState): TableSnapshot => ({
  kind: 'snapshot',
  asOf: table.offset,
  rows: [...table.rows.values()],
  teams: [...table.teams.values()],
  cells: [...table.cells.entries()].map(([cell, edit]) => ({ cell, edit })),
  history: table.history,
});
