/** Properties of a move by which moves are ranked. */
interface Move {
  readonly priority: number;
  /** Time by which the task is expected to end earlier, in milliseconds. */
  readonly gainMs: number;
}

/** Number of moves that may be under way at the same time in any case, however few runs there are. */
const MIN_MOVE_LIMIT = 4;

/**
 * Returns the candidates to move now: the most urgent, then those with the largest gain. With the `movingCount` moves under way they
 * don't exceed `maxMoving`, or `MIN_MOVE_LIMIT` if that is more.
 */
export const chooseMoves = <Candidate extends Move>(
  candidates: readonly Candidate[],
  maxMoving: number,
  movingCount: number,
): readonly Candidate[] => {
  const limit = Math.max(MIN_MOVE_LIMIT, Math.floor(maxMoving));
  return [...candidates]
    .sort((left, right) => left.priority - right.priority || right.gainMs - left.gainMs)
    .slice(0, Math.max(0, limit - movingCount));
};
