/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;
