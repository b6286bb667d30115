import { toSorted } from '../../common/toSorted';

/** The median of some values, at least one; the mean of the middle two where they are even in number. */
export const readMedian = (values: readonly number[]): number => {
  const sorted = toSorted(values);
  return (sorted[Math.floor((sorted.length - 1) / 2)]! + sorted[Math.floor(sorted.length / 2)]!) / 2;
};
