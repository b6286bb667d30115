/** Outcome of a write. `refused`: the write has no effect; `unknown`: the record may have been written, or may still be. */
export type WriteOutcome = 'written' | 'refused' | 'unknown';
