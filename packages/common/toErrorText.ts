/** Gives the short text of anything thrown, with the cause that undici hides one level down. */
export const toErrorText = (thrown: unknown): string => {
  if (!(thrown instanceof Error)) {
    return String(thrown);
  }
  const cause = thrown.cause instanceof Error ? ` (${thrown.cause.message})` : '';
  return `${thrown.message}${cause}`;
};
