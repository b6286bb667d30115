const MB = 1_048_576;

/** Heap in use after a collection, in MB. Needs --expose-gc for exact figures. */
export const measureHeap = (): number => {
  const collect = (globalThis as { gc?: () => void }).gc;
  collect?.();
  collect?.();
  return process.memoryUsage().heapUsed / MB;
};
