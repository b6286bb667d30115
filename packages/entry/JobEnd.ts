import type { RefusalReason } from '../scheduler/RefusalReason';

/** How a job ended. */
export type JobEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number }
  /** Bytes were sent and the end was not seen; the task may still run. */
  | { readonly kind: 'unknown'; readonly reason: string }
  /** Follows `unknown`: the task is known to run no more. */
  | { readonly kind: 'drained' };
