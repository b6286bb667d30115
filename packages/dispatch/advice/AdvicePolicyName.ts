/**
 * Name of a policy for advice requests.
 * - `asked`: sends a request whenever a step lacks tickets on endpoints that it could use, and a slot is free.
 * - `planned`: sends a request when a slot is free and enough starts are expected to follow from its response.
 */
export type AdvicePolicyName = 'asked' | 'planned';
