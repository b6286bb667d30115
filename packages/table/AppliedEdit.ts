import type { EditId } from '../common/EditId';
import type { CellValue } from './CellValue';

/** One edit after the fold, with the fold's decision. */
export interface AppliedEdit {
  readonly offset: number;
  readonly editId: EditId;
  readonly cell: string;
  readonly value: CellValue;
  readonly operator: string;
  readonly decision: 'accepted' | 'refused';
  /** Why it was refused: the rule, or the edit that came first. */
  readonly reason?: string;
}
