/** Fixed values of ownership. */
export const OWNERSHIP = {
  /** Units with this prefix are seats of standing replicas; all others are workers. */
  seatPrefix: 'seat/',
  /** Tokens of one view: more than a hall has processes. */
  tokensPerView: 1000,
  /** An ended process that is no member is forgotten after this time, in milliseconds. */
  forgetEndedMs: 600_000,
} as const;
