/**
 * When turns at the advice service are taken.
 * - `asked`: whenever a step lacks a ticket and a box is free to ask.
 * - `planned`: when the answer is expected to find room.
 */
export type AdvicePolicyName = 'asked' | 'planned';
