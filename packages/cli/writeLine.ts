let isGuarded = false;

/** A reader that has seen enough closes the pipe: that ends the command, without an error. */
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
