import type { EditId } from '../common/EditId';
import type { CellValue } from './CellValue';

/** An operator's edit as the log keeps it. */
export interface Edit {
  readonly kind: 'edit';
  readonly editId: EditId;
  /** `row/NAME`, `row/NAME/COLUMN` or `team/NAME/COLUMN`. */
  readonly cell: string;
  readonly value: CellValue;
  /** Offset of the cell's last accepted edit that the operator had seen; -1 for none. */
  readonly basedOn: number;
  readonly operator: string;
}
