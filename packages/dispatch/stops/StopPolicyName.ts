/**
 * Policy that decides which runs are stopped before their end.
 * - `ranked`: preempts the least urgent runs however much work they lose, and moves runs that are far slower than expected.
 * - `priced`: preempts and moves runs only where this is expected to gain more than it loses.
 */
export type StopPolicyName = 'ranked' | 'priced';
