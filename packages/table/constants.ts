/** Bounds of the table. */
export const TABLE_LIMITS = {
  /** Edits kept in the history of a process. */
  history: 500,
  /** Edits between two snapshots. */
  editsPerSnapshot: 200,
} as const;
