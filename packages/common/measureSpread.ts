import { readQuantile } from './readQuantile';

/** Quantiles one standard deviation below and above the median: a few odd values do not move them. */
const LOWER_SHARE = 0.16;
const UPPER_SHARE = 0.84;

/** What would be the standard deviation of some sorted values if they were normal; 0 when there is none. */
export const measureSpread = (sorted: readonly number[]): number =>
  ((readQuantile(sorted, UPPER_SHARE) ?? 0) - (readQuantile(sorted, LOWER_SHARE) ?? 0)) / 2;
