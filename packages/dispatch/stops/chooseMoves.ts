/** Priority and gain of a move. */
interface Move {
  readonly priority: number;
  /** Time that it is expected to gain, in milliseconds. */
  readonly gainMs: number;
}

/** Lower bound of the limit, for small clusters. */
const MIN_MOVE_LIMIT = 4;

/** Returns the moves to make now, by priority, then by gain, up to the limit less the moves under way. */
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
