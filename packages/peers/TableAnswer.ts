import type { LoggedRecord } from '../table/LoggedRecord';
import type { TableSnapshot } from '../table/TableSnapshot';

/** A peer's table records after an offset, or its whole table when it no longer has them all. */
export type TableAnswer =
  | { readonly kind: 'records'; readonly records: readonly LoggedRecord[] }
  | { readonly kind: 'snapshot'; readonly snapshot: TableSnapshot }
  | { readonly kind: 'nothing' };
