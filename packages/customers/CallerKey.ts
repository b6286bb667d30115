/** The key of a call, as far as the call carries one. */
export type CallerKey =
  | { readonly kind: 'none' }
  | { readonly kind: 'malformed' }
  | { readonly kind: 'given'; readonly key: string };
