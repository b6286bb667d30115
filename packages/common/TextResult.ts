/** Response to a request as text, or how the request failed, as in `HttpResult`. */
export type TextResult =
  | { readonly kind: 'answered'; readonly status: number; readonly text: string }
  | { readonly kind: 'refused' | 'unanswered'; readonly detail: string };
