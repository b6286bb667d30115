/** Reason why an endpoint rejected a command. */
type CommandRejection = 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'malformed';

/**
 * Result of a start or stop command.
 * - `done`: the endpoint has executed it.
 * - `rejected`: the endpoint has rejected it, for the reason given.
 * - `unhealthy`: the endpoint has rejected it, being unhealthy.
 * - `gone`: the address belongs to another endpoint, so that the incarnation has ended.
 * - `undelivered`: no connection could be made, so that the endpoint has not got it.
 * - `unanswered`: no valid response came within the time limit; the endpoint may have executed it, or may do so later.
 */
export type CommandResult =
  | { readonly kind: 'done' | 'unhealthy' | 'gone' }
  | { readonly kind: 'rejected'; readonly reason: CommandRejection }
  | { readonly kind: 'undelivered' | 'unanswered'; readonly detail: string };
