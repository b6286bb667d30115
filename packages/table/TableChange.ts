import type { RowName } from '../common/RowName';
import type { Row } from './Row';
import type { Team } from './Team';

/** What an accepted edit does to the table. */
export type TableChange =
  | { readonly kind: 'putRow'; readonly row: Row }
  | { readonly kind: 'removeRow'; readonly name: RowName }
  | { readonly kind: 'putTeam'; readonly team: Team };
