/** How a write ended: `refused` never lands, `unknown` may still do. */
export type WriteOutcome = 'written' | 'refused' | 'unknown';
