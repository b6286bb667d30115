/**
 * Policy that decides how the speed of endpoints counts in placement.
 * - `blind`: ignores speed.
 * - `kinds`: prefers fast kinds of endpoints for the most urgent queue, slow kinds for all others.
 * - `endpoints`: ranks each endpoint by the expected completion time there, compared with the objective.
 */
export type SpeedPolicyName = 'blind' | 'kinds' | 'endpoints';
