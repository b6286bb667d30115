import type { AppliedEdit } from './AppliedEdit';
import type { Row } from './Row';
import type { Team } from './Team';

/** The whole table as of an offset, appended now and then because the log forgets. */
export interface TableSnapshot {
  readonly kind: 'snapshot';
  /** The last offset folded into it; -1 for the first table of a cell. */
  readonly asOf: number;
  readonly rows: readonly Row[];
  readonly teams: readonly Team[];
  /** The last accepted edit of each cell. */
  readonly cells: readonly { readonly cell: string; readonly edit: AppliedEdit }[];
  /** The newest decided edits: a second landing of one of them must be passed over by every reader alike. */
  readonly history: readonly AppliedEdit[];
}
