/** Formats a text table with aligned columns. */
export const formatColumns = (
  headings: readonly string[],
  lines: readonly (readonly unknown[])[],
): string => {
  const texts = [headings, ...lines.map((line) => line.map((cell) => String(cell)))];
  const widths = headings.map((_, column) => Math.max(...texts.map((line) => (line[column] ?? '').length)));
  const formatLine = (line: readonly string[]) =>
    line
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return texts.map(formatLine).join('\n');
};
