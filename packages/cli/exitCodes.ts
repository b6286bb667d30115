/** Exit codes of the command line. */
export const exitCodes = {
  done: 0,
  /** Refused, failed, or something was cut. */
  failed: 1,
  /** The arguments or the settings are wrong. */
  usage: 2,
} as const;
