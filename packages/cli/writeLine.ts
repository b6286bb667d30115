/** Writes a line to standard output. */
export const writeLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};
