import type { lossCauses } from './lossCauses';

/** Cause of a lost run. */
export type LossCause = (typeof lossCauses)[number];
