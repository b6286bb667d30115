/** Resolves when the process is told to end. */
export const startUntilSignal = (): Promise<void> =>
  new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT']) {
      process.once(signal, () => resolve());
    }
  });
