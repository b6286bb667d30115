/** Returns the message of a thrown value, with the message of its cause, where undici puts the network error. */
export const formatError = (thrown: unknown): string => {
  if (!(thrown instanceof Error)) {
    return String(thrown);
  }
  const cause = thrown.cause instanceof Error ? ` (${thrown.cause.message})` : '';
  return `${thrown.message}${cause}`;
};
