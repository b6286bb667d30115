/**
 * Policy for the stops of runs.
 * - `ranked`: preempts the least urgent runs whatever they lose, and moves runs that are far slower than their siblings.
 * - `priced`: stops runs only where this gains more than it loses.
 */
export type StopPolicyName = 'ranked' | 'priced';
