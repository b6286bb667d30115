import type { NotRunReason } from './NotRunReason';

/** Final response to a call. */
export type CallResponse =
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
      /** Delay after which a retry may succeed; undefined if retries are useless. */
      readonly retryAfterMs: number | undefined;
    }
  | {
      readonly outcome: 'unknown';
      readonly detail: string;
      /** True if the call timed out: its status is 504 instead of 502. */
      readonly isLate: boolean;
    };
