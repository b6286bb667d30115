const cleanups = new Set<() => void>();

process.once('exit', () => cleanups.forEach((cleanup) => cleanup()));

/** Adds a cleanup that runs when this process exits. Returns a function that removes it again. */
export const addExitCleanup = (cleanup: () => void): (() => void) => {
  cleanups.add(cleanup);
  return () => void cleanups.delete(cleanup);
};
