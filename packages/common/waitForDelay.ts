/** Waits for `ms` milliseconds, or until `signal` aborts. Never rejects. */
export const waitForDelay = (ms: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
      return;
    }
    const handleEnd = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', handleEnd);
      resolve();
    };
    const timer = setTimeout(handleEnd, ms);
    signal?.addEventListener('abort', handleEnd);
  });
