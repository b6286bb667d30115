import type { TableSnapshot } from './TableSnapshot';
import type { TableState } from './TableState';

/** Applies a snapshot that is newer than the table; an older one changes nothing. */
export const applySnapshot = (table: TableState, snapshot: TableSnapshot): TableState => {
  const isNewer = !table.isShared || snapshot.asOf > table.offset;
  if (!isNewer) {
    return table;
  }
  return {
    offset: snapshot.asOf,
    isShared: true,
    rows: new Map(snapshot.rows.map((row) => [row.name, row])),
    teams: new Map(snapshot.teams.map((team) => [team.name, team])),
    cells: new Map(snapshot.cells.map((entry) => [entry.cell, entry.edit])),
    history: snapshot.history,
  };
};
