import type { lossCauses } from './lossCauses';

/** What a run lost its work by. */
export type LossCause = (typeof lossCauses)[number];
