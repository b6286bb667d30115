/** How a dispatch to an endpoint ended. */
export type DispatchResult =
  /** A whole answer that names the task. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  /** The worker stopped the task by checkpoint. */
  | { readonly kind: 'yielded' }
  /** No byte has left: the right was lost, or no connection could be made. */
  | { readonly kind: 'notSent'; readonly why: 'noRight' | 'noConnection'; readonly reason: string }
  /** Bytes have left and no whole answer came. */
  | { readonly kind: 'unknown'; readonly reason: string };
