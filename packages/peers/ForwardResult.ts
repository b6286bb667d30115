import type { CallAnswer } from '../gateway/CallAnswer';

/** How sending a call on to another entry box ended. */
export type ForwardResult =
  | { readonly kind: 'answered'; readonly answer: CallAnswer }
  /** No byte has left. */
  | { readonly kind: 'notSent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };
