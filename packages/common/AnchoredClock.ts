import type { Clock } from './Clock';

interface AnchoredClockOptions {
  /** Both clocks of the machine. */
  readonly source: Clock;
  /** A jump of the time of day has held and is followed from now on. */
  readonly handleMoved: (byMs: number) => void;
}

/** The clocks of machines may be apart by so much; a smaller difference is followed at once. */
const SLEW_MS = 200;
/**
 * A jump is followed once it has held for so long. Jumps of 2 to 3 s for 5 to 7 s were seen in service; with a clock that followed
 * them, jobs of other boxes looked late, and repetitions fell due early.
 */
const HOLD_MS = 15_000;

/**
 * A wall clock that goes on with the monotonic one where the machine's time of day jumps: orders of jobs and due times must not depend
 * on a jump that is taken back. One that lasts is followed.
 */
export class AnchoredClock implements Clock {
  /** Wall clock less monotonic clock, as followed. */
  private offsetMs: number;
  /** Monotonic time since which the machine's time of day differs; undefined while it does not. */
  private differsSince: number | undefined;

  constructor(private readonly options: AnchoredClockOptions) {
    const { source } = options;
    this.offsetMs = source.readWall() - source.readNow();
  }

  readNow(): number {
    return this.options.source.readNow();
  }

  readWall(): number {
    const { source } = this.options;
    const now = source.readNow();
    this.applyReading(source.readWall() - now, now);
    return now + this.offsetMs;
  }

  private applyReading(offsetMs: number, now: number): void {
    const byMs = offsetMs - this.offsetMs;
    if (Math.abs(byMs) <= SLEW_MS) {
      this.differsSince = undefined;
      this.offsetMs = offsetMs;
      return;
    }
    this.differsSince ??= now;
    if (now - this.differsSince >= HOLD_MS) {
      this.differsSince = undefined;
      this.offsetMs = offsetMs;
      this.options.handleMoved(byMs);
    }
  }
}
