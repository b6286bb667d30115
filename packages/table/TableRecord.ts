import type { Edit } from './Edit';
import type { TableSnapshot } from './TableSnapshot';

/** What the log's configuration stream carries. */
export type TableRecord =
  | Edit
  | TableSnapshot
  /** A record that is not understood: it keeps its offset and changes nothing. */
  | { readonly kind: 'void' };
