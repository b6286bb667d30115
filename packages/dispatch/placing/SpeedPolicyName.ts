/**
 * How the speed of endpoints counts when one is chosen.
 * - `blind`: not at all.
 * - `kinds`: that of its kind; the most urgent work goes to fast kinds first, all other work to slow kinds first.
 * - `endpoints`: its own, by the expected end of the work there against the objective.
 */
export type SpeedPolicyName = 'blind' | 'kinds' | 'endpoints';
