import type { CellValue } from '../table/CellValue';

/** An operator's wish. */
export interface EditRequest {
  readonly cell: string;
  readonly value: CellValue;
  readonly operator: string;
  /** Offset of the cell's last edit that the operator has seen; absent means the present one. */
  readonly basedOn?: number;
}
