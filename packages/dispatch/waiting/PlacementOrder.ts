/**
 * Name of the order in which waiting steps are placed. Steps of a more urgent priority always go first; the names say how those of one
 * priority are ordered.
 * - `objective`: steps whose objective hasn't passed first, then by objective.
 * - `shares`: as `objective`, but jobs over their customer's share last.
 * - `usage`: steps of the customers with the lowest usage in relation to their weight first, then as `objective`.
 * - `sharesThenUsage`: jobs over their customer's share last, then as `usage`.
 * - `held`: steps that can meet their objective first, then late ones that are still useful, then expired ones; within each group, steps
 *   over their customer's fair share of the capacity last, then by latest start time. In some time slices expired steps go first. As
 *   `shares` when no waiting step has a customer with a weight.
 */
export type PlacementOrder = 'objective' | 'shares' | 'usage' | 'sharesThenUsage' | 'held';
