/** What an edit may write: one cell, or with an object a whole new row; null removes a row. */
export type CellValue =
  string | number | boolean | null | { readonly [column: string]: string | number | boolean };
