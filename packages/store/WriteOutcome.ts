/** Outcome of a write. `refused`: it has no effect; `unknown`: it may have been written, or may still be. */
export type WriteOutcome = 'written' | 'refused' | 'unknown';
