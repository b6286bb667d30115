/** Formats lines of cells as columns of even width. */
export const formatColumns = (heads: readonly string[], lines: readonly (readonly unknown[])[]): string => {
  const texts = [heads, ...lines.map((line) => line.map((cell) => String(cell)))];
  const widths = heads.map((_, column) => Math.max(...texts.map((line) => (line[column] ?? '').length)));
  const formatLine = (line: readonly string[]) =>
    line
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return texts.map(formatLine).join('\n');
};
