/** API key of a request, if it has one. */
export type CallerKey =
  | { readonly kind: 'none' }
  | { readonly kind: 'malformed' }
  | { readonly kind: 'given'; readonly key: string };
