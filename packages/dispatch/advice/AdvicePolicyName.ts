/**
 * Name of a policy for advice requests.
 * - `asked`: sends a request whenever a step lacks tickets and a channel is free.
 * - `planned`: sends a request when its response is expected to find free capacity.
 */
export type AdvicePolicyName = 'asked' | 'planned';
