/** An answer, or how the call failed: `refused` means that no connection was made and nothing was sent. */
export type HttpResult =
  | { readonly kind: 'answered'; readonly status: number; readonly body: Buffer }
  | { readonly kind: 'refused' | 'unanswered'; readonly detail: string };
