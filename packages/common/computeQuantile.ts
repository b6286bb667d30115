/** Returns the quantile at a fraction (0 to 1) of sorted values; undefined if there are no values. */
export const computeQuantile = (sorted: readonly number[], fraction: number): number | undefined =>
  sorted[Math.floor((sorted.length - 1) * fraction)];
