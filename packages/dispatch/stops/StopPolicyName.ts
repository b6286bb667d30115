/**
 * How it is decided what is stopped.
 * - `ranked`: the least urgent work gives way, whatever it loses; runs that are far slower than their siblings are moved.
 * - `priced`: a stop must gain more than it loses.
 */
export type StopPolicyName = 'ranked' | 'priced';
