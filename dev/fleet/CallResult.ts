/** What a caller saw of one request. */
export interface CallResult {
  readonly status: number;
  /** `ran`, `not-run`, `unknown`, or `cut` when the entry box gave no answer. */
  readonly outcome: string;
  readonly request: string;
  readonly box: string;
  readonly retryAfter: number | undefined;
  readonly body: string;
  readonly tookMs: number;
}
