let isGuarded = false;

/** Exits without an error when the reader closes the pipe. */
const startGuard = (): void => {
  isGuarded = true;
  process.stdout.on('error', () => process.exit(0));
};

/** Writes a line to standard output. */
export const writeLine = (line: string): void => {
  if (!isGuarded) {
    startGuard();
  }
  process.stdout.write(`${line}\n`);
};
