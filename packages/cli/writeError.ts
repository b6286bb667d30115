/** Writes a line to standard error. */
export const writeError = (line: string): void => {
  process.stderr.write(`${line}\n`);
};
