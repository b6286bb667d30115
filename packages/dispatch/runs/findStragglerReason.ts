interface StragglerInput {
  /** Milliseconds that this run takes for one percent. */
  readonly pace: number;
  /** Milliseconds that a run of the step usually takes for one percent. */
  readonly baselinePace: number;
  readonly percent: number;
  /** Time since `percent` last increased, in milliseconds. */
  readonly stalledMs: number;
  /** Time from the stop of this run until the new one makes progress, in milliseconds. */
  readonly moveMs: number;
  /** Pace that a slow run exceeds; `SLOW_PACE_RATIO` times `baselinePace` by default. */
  readonly slowPace?: number;
  /** Percent of the work that the new run has to do; all by default. */
  readonly restartPercent?: number;
}

/** Default of `slowPace`, as a multiple of `baselinePace`. */
const SLOW_PACE_RATIO = 2.5;
/** Remaining time above which a slow run is moved, as a multiple of the time that a move and the new run take. */
const MIN_REMAINING_TO_RESTART_RATIO = 1.3;
/** A run without progress for at most this time is not stalled. */
const MIN_STALL_MS = 900;
/** A run is stalled after no progress for the time that the baseline pace gives for this many percent. */
const STALL_BASELINE_PERCENT = 25;
const FULL_PERCENT = 100;

/**
 * Returns `stalled` if the run has made no progress for longer than `MIN_STALL_MS` and the time of `STALL_BASELINE_PERCENT`; else `slow`
 * if its pace exceeds `slowPace` and a new run is expected to end clearly sooner; else undefined.
 */
export const findStragglerReason = (input: StragglerInput): 'stalled' | 'slow' | undefined => {
  if (input.stalledMs > Math.max(MIN_STALL_MS, STALL_BASELINE_PERCENT * input.baselinePace)) {
    return 'stalled';
  }
  const remainingMs = input.pace * (FULL_PERCENT - input.percent);
  const { baselinePace, slowPace = SLOW_PACE_RATIO * baselinePace, restartPercent = FULL_PERCENT } = input;
  const restartMs = baselinePace * restartPercent + input.moveMs;
  const isSlow = input.pace > slowPace;
  return isSlow && remainingMs > MIN_REMAINING_TO_RESTART_RATIO * restartMs ? 'slow' : undefined;
};
