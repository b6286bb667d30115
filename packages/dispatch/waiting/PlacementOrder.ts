/**
 * Order in which waiting steps of one priority are placed.
 * - `objective`: steps whose objective hasn't passed first, then by objective.
 * - `shares`: as `objective`, but jobs over their customer's share last.
 * - `usage`: customers with the lowest usage by weight first, then as `objective`.
 * - `sharesThenUsage`: jobs over their customer's share last, then as `usage`.
 * - `held`: steps that can meet their objective first, then late ones that are still useful, then expired ones; within these, steps
 *   over their customer's fair share of the capacity last, then by latest start time. Expired steps go first in some time slices.
 */
export type PlacementOrder = 'objective' | 'shares' | 'usage' | 'sharesThenUsage' | 'held';
