import type { NotRunReason } from './NotRunReason';

/** The final answer to a call. */
export type CallAnswer =
  | {
      readonly outcome: 'ran';
      readonly status: number;
      readonly contentType: string;
      readonly body: Buffer;
    }
  | {
      readonly outcome: 'not-run';
      readonly reason: NotRunReason;
      readonly detail: string;
      /** When coming back helps, in milliseconds; undefined when it does not. */
      readonly retryAfterMs: number | undefined;
    }
  | { readonly outcome: 'unknown'; readonly detail: string; readonly isLate: boolean };
