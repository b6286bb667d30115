/** The values in rising order. */
export const toSorted = (values: Iterable<number>): readonly number[] =>
  [...values].sort((left, right) => left - right);
