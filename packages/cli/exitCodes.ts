/** Exit codes of all commands, for use in scripts. */
export const exitCodes = {
  done: 0,
  /** The command failed or was refused, or work was interrupted. */
  failed: 1,
  /** The arguments or the settings are invalid. */
  usage: 2,
} as const;
