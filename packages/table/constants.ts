/** Bounds of the table. */
export const TABLE_LIMITS = {
  /** Edits kept in the history of a process. */
  history: 500,
  /** The longest time limit of any row, in milliseconds; a new owner of a worker may have to wait that long. */
  longestTaskMs: 14_400_000,
  /** Edits between two snapshots. */
  editsPerSnapshot: 1000,
} as const;
