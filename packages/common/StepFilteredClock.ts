import type { Clock } from './Clock';

interface StepFilteredClockOptions {
  /** Clock whose short-lived steps of wall time are to be ignored. */
  readonly source: Clock;
  /** Called when a step of the wall clock was confirmed and applied. */
  readonly handleStep: (byMs: number) => void;
}

/** Largest change of the difference between the wall clock and the monotonic clock that is applied at once. */
const MAX_IMMEDIATE_CHANGE_MS = 200;
/**
 * Time for which a step must persist before it is applied. Steps of 2 to 3 s that last 5 to 7 s have occurred in service: a clock that follows them makes
 * jobs of other boxes look late, and repetitions fall due early.
 */
const STEP_CONFIRMATION_MS = 15_000;

/**
 * Clock whose wall time ignores steps that are soon reverted: it follows the monotonic clock until a step has persisted.
 * Keeps the order of jobs and their due times independent of short-lived steps.
 */
export class StepFilteredClock implements Clock {
  /** Applied difference between the wall clock and the monotonic clock. */
  private offsetMs: number;
  /** Monotonic time at which the current, unconfirmed step was first seen; undefined if there is none. */
  private steppedSince: number | undefined;

  constructor(private readonly options: StepFilteredClockOptions) {
    const { source } = options;
    this.offsetMs = source.getWallTime() - source.getNow();
  }

  getNow(): number {
    return this.options.source.getNow();
  }

  getWallTime(): number {
    const { source } = this.options;
    const now = source.getNow();
    this.updateOffset(source.getWallTime() - now, now);
    return now + this.offsetMs;
  }

  private updateOffset(offsetMs: number, now: number): void {
    const byMs = offsetMs - this.offsetMs;
    if (Math.abs(byMs) <= MAX_IMMEDIATE_CHANGE_MS) {
      this.steppedSince = undefined;
      this.offsetMs = offsetMs;
      return;
    }
    this.steppedSince ??= now;
    if (now - this.steppedSince >= STEP_CONFIRMATION_MS) {
      this.steppedSince = undefined;
      this.offsetMs = offsetMs;
      this.options.handleStep(byMs);
    }
  }
}
