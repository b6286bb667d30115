/** What the process of callers sends when it has carried out an order; `error` says why it could not. */
export interface CallerReply {
  readonly error?: string;
}
