/**
 * In which order waiting steps of one priority are placed.
 * - `objective`: those that can still meet their objective first, the earliest objective first.
 * - `shares`: the same, but what is beyond its customer's share comes last.
 * - `usage`: customers that have least running for their weight first, then by objective.
 * - `sharesThenUsage`: what is beyond its share last, the others by usage.
 * - `held`: what can still be in time first, then late work that is still of use; within these what a customer has running and waiting within
 *   its share, then by slack. What is past its use goes first in part of the time.
 */
export type PlacementOrder = 'objective' | 'shares' | 'usage' | 'sharesThenUsage' | 'held';
