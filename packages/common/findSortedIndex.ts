/** Returns the index of the first of the ascending values that is not below a value; their number if all are. */
export const findSortedIndex = (sorted: readonly number[], value: number): number => {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (sorted[middle]! < value) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
};
