/** Resolves as `work` does, or to `late` when that takes longer than `limitMs`. The work itself goes on. */
export const startBounded = async <Value>(
  work: Promise<Value>,
  limitMs: number,
  late: Value,
): Promise<Value> => {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<Value>((resolve) => {
    timer = setTimeout(() => resolve(late), limitMs);
  });
  return Promise.race([work, limit]).finally(() => clearTimeout(timer));
};
