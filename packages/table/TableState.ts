import type { RowName } from '../common/RowName';
import type { TeamName } from '../common/TeamName';
import type { AppliedEdit } from './AppliedEdit';
import type { Row } from './Row';
import type { Team } from './Team';

/** The operators' table as one process knows it. Never changed in place: a fold makes a new one. */
export interface TableState {
  /** The last offset folded in; -1 before any. */
  readonly offset: number;
  /** False while the table comes from the settings alone, because no log and no peer could be read. */
  readonly isShared: boolean;
  readonly rows: ReadonlyMap<RowName, Row>;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** The last accepted edit of each cell. */
  readonly cells: ReadonlyMap<string, AppliedEdit>;
  /** The newest edits with their decisions, oldest first, bounded. */
  readonly history: readonly AppliedEdit[];
}
