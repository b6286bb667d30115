interface StragglerInput {
  /** Milliseconds for one percent: of this run, and the baseline of its step. */
  readonly pace: number;
  readonly baselinePace: number;
  readonly percent: number;
  /** Time since `percent` last increased, in milliseconds. */
  readonly stalledMs: number;
  /** Time that a move takes until the new run makes progress, in milliseconds. */
  readonly moveMs: number;
  /** A run is slow only if its pace exceeds this; by default a multiple of `usualPace`. */
  readonly slowPace?: number;
  /** Percent of the work that the new run has to do; by default all. */
  readonly restartPercent?: number;
}

/** Default of `slowPace`, as a multiple of `usualPace`. */
const SLOW_PACE_RATIO = 2.5;
/** Remaining time at which a move pays off, as a multiple of the time that a new run takes. */
const MIN_REMAINING_RATIO = 1.3;
const MIN_STALL_MS = 900;
/** A run is stalled when it makes no progress in the baseline time for this many percent. */
const STALL_BASELINE_PERCENT = 25;
const ALL_PERCENT = 100;

/** Returns why a run would end sooner on another endpoint, or undefined when it would not. */
export const findStragglerReason = (input: StragglerInput): 'stalled' | 'slow' | undefined => {
  if (input.stalledMs > Math.max(MIN_STALL_MS, STALL_BASELINE_PERCENT * input.baselinePace)) {
    return 'stalled';
  }
  const remainingMs = input.pace * (ALL_PERCENT - input.percent);
  const { baselinePace, slowPace = SLOW_PACE_RATIO * baselinePace, restartPercent = ALL_PERCENT } = input;
  const restartMs = baselinePace * restartPercent + input.moveMs;
  const isSlow = input.pace > slowPace;
  return isSlow && remainingMs > MIN_REMAINING_RATIO * restartMs ? 'slow' : undefined;
};
