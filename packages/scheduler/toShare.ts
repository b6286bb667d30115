/**
 * The part of a cell-wide limit that one of `count` entry boxes may use. The parts add up to the limit exactly,
 * so no cut between boxes can make more of it. 0 means no limit and stays so.
 */
export const toShare = (limit: number, index: number, count: number): number => {
  if (limit === 0) {
    return Infinity;
  }
  const even = Math.floor(limit / count);
  return even + (index < limit % count ? 1 : 0);
};
