/** Result of a dispatch to an endpoint. */
export type DispatchResult =
  /** A complete response for the task. */
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  /** The worker stopped the task after a checkpoint. */
  | { readonly kind: 'yielded' }
  /** The task was not started: nothing was sent, or the endpoint rejected the fencing token. */
  | {
      readonly kind: 'notSent';
      readonly why: 'noRight' | 'noConnection' | 'fenced';
      readonly reason: string;
    }
  /** The request may have been sent, but no complete response arrived. */
  | { readonly kind: 'unknown'; readonly reason: string };
