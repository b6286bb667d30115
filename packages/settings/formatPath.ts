/** Formats the path of a value, for example `entries[2].callers`. */
export const formatPath = (path: readonly PropertyKey[]): string => {
  let text = '';
  for (const part of path) {
    const isIndex = typeof part === 'number';
    text += isIndex ? `[${part}]` : `${text === '' ? '' : '.'}${String(part)}`;
  }
  return text;
};
