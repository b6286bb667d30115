import { sortAscending } from '../../common/sortAscending';

/** Returns the median of one or more values; the mean of the middle two for an even number. */
export const computeMedian = (values: readonly number[]): number => {
  const sorted = sortAscending(values);
  return (sorted[Math.floor((sorted.length - 1) / 2)]! + sorted[Math.floor(sorted.length / 2)]!) / 2;
};
