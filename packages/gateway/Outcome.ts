/** What a caller is told of its request: it ran, it certainly did not, or nobody can tell. */
export type Outcome = 'ran' | 'not-run' | 'unknown';
