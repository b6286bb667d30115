/** Names of the policies in the lookup table: the one in use, its earlier version, and baselines. */
export type PolicyName = 'stairline' | 'stairline-1' | 'arrival-random' | 'least-loaded' | 'naive-scan';
