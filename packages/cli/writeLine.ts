let hasErrorHandler = false;

/** Adds a handler that ends the process with exit code 0 when standard output fails, as when the reader closes the pipe. */
const addOutputErrorHandler = (): void => {
  hasErrorHandler = true;
  process.stdout.on('error', () => process.exit(0));
};

/** Writes a line to standard output. */
export const writeLine = (line: string): void => {
  if (!hasErrorHandler) {
    addOutputErrorHandler();
  }
  process.stdout.write(`${line}\n`);
};
