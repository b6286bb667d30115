import type { CallResponse } from '../gateway/CallResponse';

/** How sending a call on to another entry box ended. */
export type ForwardResult =
  | { readonly kind: 'answered'; readonly answer: CallResponse }
  /** No byte has left. */
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };
