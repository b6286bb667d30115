/** What matters of a move. */
interface Move {
  readonly priority: number;
  /** Time that it is expected to save, in milliseconds. */
  readonly gainMs: number;
}

/** A small fleet may move so many at once all the same. */
const MIN_MOVING = 4;

/** Chooses which moves to make now: the most urgent first, of these those that gain most; the rest may follow when these are done. */
export const chooseMoves = <Candidate extends Move>(
  candidates: readonly Candidate[],
  mostMoving: number,
  movingCount: number,
): readonly Candidate[] => {
  const bound = Math.max(MIN_MOVING, Math.floor(mostMoving));
  return [...candidates]
    .sort((left, right) => left.priority - right.priority || right.gainMs - left.gainMs)
    .slice(0, Math.max(0, bound - movingCount));
};
