/**
 * Response to an HTTP request, or how the request failed.
 * - `refused`: there was no connection, and nothing was sent.
 * - `unanswered`: the request may have been sent, but no whole response arrived.
 */
export type HttpResult =
  | { readonly kind: 'answered'; readonly status: number; readonly body: Buffer }
  | { readonly kind: 'refused' | 'unanswered'; readonly detail: string };
