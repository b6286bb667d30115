/** Reason why an endpoint rejected a command. */
type CommandRejection = 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'malformed';

/**
 * Result of a start or stop command.
 * - `done`: the endpoint has executed it.
 * - `rejected`: the endpoint has rejected it, for the reason given.
 * - `unhealthy`: the endpoint has rejected it, being unhealthy.
 * - `gone`: the incarnation has ended; its address belongs to another.
 * - `undelivered`: nothing was sent, since no connection could be made.
 * - `unanswered`: no response came; the endpoint may have executed it, or may yet.
 */
export type CommandResult =
  | { readonly kind: 'done' | 'unhealthy' | 'gone' }
  | { readonly kind: 'rejected'; readonly reason: CommandRejection }
  | { readonly kind: 'undelivered' | 'unanswered'; readonly detail: string };
