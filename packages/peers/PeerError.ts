/** What can go wrong between two entry processes. */
export type PeerError =
  /** The peer's port refuses connections: nothing listens there. */
  | { readonly kind: 'refusing' }
  /** No answer, no connection, or a broken one. */
  | { readonly kind: 'silent'; readonly reason: string };
