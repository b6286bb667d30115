/** Reason why an endpoint rejected a command. */
type CommandRejection = 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'malformed';

/**
 * Result of a start or stop command.
 * - `done`: the endpoint has executed the command.
 * - `rejected`: the endpoint has rejected the command, for the reason given.
 * - `unhealthy`: the endpoint has rejected the command, being unhealthy.
 * - `gone`: the address belongs to another endpoint, so that the incarnation has ended.
 * - `undelivered`: no connection could be made, so that the endpoint has not got the command.
 * - `unanswered`: no valid response came within the time limit; the endpoint may have executed the command, or may do so later.
 * - `interrupted`: the box that sends the command was lost; the endpoint may have executed the command, or may do so later.
 */
export type CommandResult =
  | { readonly kind: 'done' | 'unhealthy' | 'gone' }
  | { readonly kind: 'rejected'; readonly reason: CommandRejection }
  | { readonly kind: 'undelivered' | 'unanswered'; readonly detail: string }
  | { readonly kind: 'interrupted'; readonly detail: string };
