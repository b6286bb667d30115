import type { lossCauses } from './lossCauses';

/** Cause by which a run ended without completing or failing; `lossCauses` describes each. */
export type LossCause = (typeof lossCauses)[number];
