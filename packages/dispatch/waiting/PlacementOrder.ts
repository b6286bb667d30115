/**
 * In which order waiting steps of one priority are placed.
 * - `objective`: those that can still meet their objective first, the earliest objective first.
 * - `shares`: the same, but what is beyond its customer's share comes last.
 * - `usage`: customers that have least running for their weight first, then by objective.
 * - `sharesThenUsage`: what is beyond its share last, the others by usage.
 */
export type PlacementOrder = 'objective' | 'shares' | 'usage' | 'sharesThenUsage';
