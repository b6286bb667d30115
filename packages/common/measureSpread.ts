import { readQuantile } from './readQuantile';

/** Quantiles that lie one standard deviation below and above the mean in a normal distribution. */
const LOWER_QUANTILE = 0.16;
const UPPER_QUANTILE = 0.84;

/** Computes a standard deviation of sorted values that is robust against outliers; 0 if there are no values. */
export const measureSpread = (sorted: readonly number[]): number =>
  ((readQuantile(sorted, UPPER_QUANTILE) ?? 0) - (readQuantile(sorted, LOWER_QUANTILE) ?? 0)) / 2;
