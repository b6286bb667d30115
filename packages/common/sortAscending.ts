/** Returns the values in ascending order. */
export const sortAscending = (values: Iterable<number>): readonly number[] =>
  [...values].sort((left, right) => left - right);
