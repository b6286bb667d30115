/** Waits for a promise; resolves to `fallback` if it takes longer than `timeoutMs`. Does not cancel the work. */
export const waitWithTimeout = async <Value>(
  work: Promise<Value>,
  timeoutMs: number,
  fallback: Value,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<Value>((resolve) => {
    timer = setTimeout(() => resolve(fallback), timeoutMs);
  });
  return Promise.race([work, timeout]).finally(() => clearTimeout(timer));
};
