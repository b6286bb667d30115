/** Names of the policies in the lookup table: the one in use, and the baselines that it is measured against. */
export type PolicyName = 'stairline' | 'arrival-random' | 'least-loaded' | 'naive-scan';
