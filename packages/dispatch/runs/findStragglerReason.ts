interface StragglerInput {
  /** Milliseconds for one percent, of this run and usual for its step. */
  readonly pace: number;
  readonly usualPace: number;
  readonly percent: number;
  /** Time since the run's percent last rose, in milliseconds. */
  readonly stalledMs: number;
  /** Time that a move takes before the new run works, in milliseconds. */
  readonly moveMs: number;
  /** Only a run with a pace beyond this is slow; by default far beyond the usual one. */
  readonly slowPace?: number;
  /** Percent that are to be done elsewhere; by default all. */
  readonly restartPercent?: number;
}

const SLOW_RATIO = 2.5;
/** A move must save at least this share of the time that a fresh run takes. */
const GAIN_SHARE = 1.3;
const STALL_MS = 900;
/** A run that has not moved in the usual time for so many percent stands still. */
const STALL_PERCENT = 25;
const WHOLE = 100;

/** Tells whether a run would end sooner if it were stopped and started elsewhere, and why. */
export const findStragglerReason = (input: StragglerInput): 'stalled' | 'slow' | undefined => {
  if (input.stalledMs > Math.max(STALL_MS, STALL_PERCENT * input.usualPace)) {
    return 'stalled';
  }
  const remainingMs = input.pace * (WHOLE - input.percent);
  const { usualPace, slowPace = SLOW_RATIO * usualPace, restartPercent: freshPercent = WHOLE } = input;
  const freshMs = usualPace * freshPercent + input.moveMs;
  const isSlow = input.pace > slowPace;
  return isSlow && remainingMs > GAIN_SHARE * freshMs ? 'slow' : undefined;
};
