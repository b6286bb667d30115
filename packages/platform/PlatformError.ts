/** What can go wrong between an entry process and the platform. */
export type PlatformError =
  /** No connection, or it broke. An append may still have taken effect. */
  | { readonly kind: 'unreachable'; readonly reason: string }
  /** No answer in time. An append may still have taken effect. */
  | { readonly kind: 'timeout'; readonly afterMs: number }
  /** The platform answered with an error status. */
  | { readonly kind: 'refused'; readonly status: number; readonly reason: string }
  /** The answer is not of the published form. */
  | { readonly kind: 'badAnswer'; readonly reason: string };
