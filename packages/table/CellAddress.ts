/** A parsed cell address. Without a column it means the whole row. */
export interface CellAddress {
  readonly sheet: 'row' | 'team';
  readonly name: string;
  readonly column?: string;
}
