import { computeQuantile } from './computeQuantile';

/** Quantiles that lie one standard deviation below and above the mean in a normal distribution. */
const LOWER_QUANTILE = 0.16;
const UPPER_QUANTILE = 0.84;

/** Computes a standard deviation of sorted values that is robust against outliers; 0 if there are no values. */
export const computeSpread = (sorted: readonly number[]): number =>
  ((computeQuantile(sorted, UPPER_QUANTILE) ?? 0) - (computeQuantile(sorted, LOWER_QUANTILE) ?? 0)) / 2;
