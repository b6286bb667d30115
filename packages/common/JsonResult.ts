/**
 * Response to a JSON request, or how the request failed.
 * - `answered`: `value` is the parsed body; undefined or null if it is not JSON.
 * - `refused`: there was no connection, and nothing was sent.
 * - `unanswered`: the request may have been sent, but no whole response arrived.
 * - `interrupted`: the process that sends the request for this one was lost. The request may have been sent, or may be sent later, which says nothing
 *   about the addressed process.
 */
export type JsonResult =
  | { readonly kind: 'answered'; readonly status: number; readonly value: unknown }
  | { readonly kind: 'refused' | 'unanswered' | 'interrupted'; readonly detail: string };
