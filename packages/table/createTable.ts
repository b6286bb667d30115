import type { Row } from './Row';
import type { TableState } from './TableState';
import type { Team } from './Team';

interface TableSource {
  readonly rows: readonly Row[];
  readonly teams: readonly Team[];
}

/** Creates a table that nobody shares yet, from the settings' rows and teams. */
export const createTable = (source: TableSource): TableState => ({
  offset: -1,
  isShared: false,
  rows: new Map(source.rows.map((row) => [row.name, row])),
  teams: new Map(source.teams.map((team) => [team.name, team])),
  cells: new Map(),
  history: [],
});
