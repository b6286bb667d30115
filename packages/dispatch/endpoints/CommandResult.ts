/** Why an endpoint did not do what it was told. */
type OrderRejection = 'fence' | 'old' | 'late' | 'room' | 'ticket' | 'malformed';

/**
 * How an order ended.
 * - `done`: carried out.
 * - `rejected`: not carried out, with the endpoint's reason.
 * - `unhealthy`: not carried out.
 * - `gone`: the address belongs to another life; this one has ended.
 * - `undelivered`: no connection was made, so that nothing was sent.
 * - `unanswered`: may have been carried out, or may be later.
 */
export type CommandResult =
  | { readonly kind: 'done' | 'unhealthy' | 'gone' }
  | { readonly kind: 'rejected'; readonly reason: OrderRejection }
  | { readonly kind: 'undelivered' | 'unanswered'; readonly detail: string };
