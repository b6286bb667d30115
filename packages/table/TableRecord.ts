import type { Edit } from './Edit';
import type { TableSnapshot } from './TableSnapshot';

/** What the log's configuration stream carries. */
export type TableRecord = Edit | TableSnapshot;
