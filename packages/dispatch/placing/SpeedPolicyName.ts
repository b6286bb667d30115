/**
 * Policy for the speed of endpoints in placement.
 * - `blind`: ignores speed.
 * - `kinds`: prefers fast kinds of endpoints for the most urgent queue, slow kinds for all others.
 * - `endpoints`: compares the expected completion time on each endpoint with the objective.
 */
export type SpeedPolicyName = 'blind' | 'kinds' | 'endpoints';
