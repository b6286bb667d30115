/**
 * How the speed of an endpoint's kind counts when it is chosen.
 * - `blind`: not at all.
 * - `kinds`: the most urgent work goes to fast kinds first, all other work to slow kinds first.
 */
export type SpeedChoice = 'blind' | 'kinds';
