/** The value that a share, 0 to 1, of some sorted values do not exceed; undefined when there is none. */
export const readQuantile = (sorted: readonly number[], share: number): number | undefined =>
  sorted[Math.floor((sorted.length - 1) * share)];
