import type { Clock } from './Clock';

interface SuspensionClockOptions {
  /** Both clocks of the machine. The monotonic one stands still while the machine is suspended. */
  readonly source: Clock;
  /** Milliseconds since the machine's start, its suspensions counted; undefined when not known. */
  readonly readBootMs: () => number | undefined;
  /** The machine was suspended for so long. */
  readonly handleSuspended: (byMs: number) => void;
  /** The time of day jumped ahead, and the boot clock does not tell whether the machine was suspended. */
  readonly handleDoubt: (byMs: number) => void;
  /** The boot clock can be used from now on, or no longer. */
  readonly handleBootClock: (isUsable: boolean) => void;
}

interface Doubt {
  /** Monotonic time of the jump. */
  readonly at: number;
  readonly byMs: number;
}

/** A difference between clocks that is no jump: the boot clock is read in steps of 10 ms. */
const NOTICE_MS = 50;
/** The clocks are compared so often although no jump shows, so that slow drifts do not add up to one. */
const COMPARE_EVERY_MS = 500;
/** Some machines show the boot clock of another one: it is used once it has kept pace for so many comparisons. */
const COHERENT_COMPARISONS = 4;
/** Times of rights that are older than this have run out anyway. */
const DOUBT_KEPT_MS = 60_000;

/**
 * A monotonic clock that counts the time for which the machine was suspended. Without it a lease, a version of the configuration or a
 * leader's right looks as young after a suspension as before. Suspensions show in the time of day; the boot clock tells them from jumps of
 * it. Where it cannot, the jump counts against one's own rights alone: taking it for time that has passed would free tasks that others run.
 */
export class SuspensionClock {
  private suspendedMs = 0;
  /** Time of day less the monotonic clock, when last compared. */
  private wallOffsetMs: number;
  private bootOffsetMs: number | undefined;
  private comparedAt: number;
  private coherentCount = 0;
  private doubts: Doubt[] = [];

  constructor(private readonly options: SuspensionClockOptions) {
    const { source } = options;
    this.comparedAt = source.readNow();
    this.wallOffsetMs = source.readWall() - this.comparedAt;
    this.bootOffsetMs = this.readBootOffsetMs(this.comparedAt);
  }

  readNow(): number {
    const { source } = this.options;
    const steady = source.readNow();
    const wallOffsetMs = source.readWall() - steady;
    const hasJumped = Math.abs(wallOffsetMs - this.wallOffsetMs) > NOTICE_MS;
    if (hasJumped || steady - this.comparedAt >= COMPARE_EVERY_MS) {
      this.applyComparison(steady, wallOffsetMs);
    }
    return steady + this.suspendedMs;
  }

  readWall(): number {
    return this.options.source.readWall();
  }

  readLongestSince(since: number): number {
    const now = this.readNow();
    return this.doubts.reduce((ageMs, { at, byMs }) => (since <= at ? ageMs + byMs : ageMs), now - since);
  }

  private applyComparison(steady: number, wallOffsetMs: number): void {
    const wallJumpMs = wallOffsetMs - this.wallOffsetMs;
    const bootOffsetMs = this.readBootOffsetMs(steady);
    const bootJumpMs =
      bootOffsetMs === undefined || this.bootOffsetMs === undefined
        ? undefined
        : bootOffsetMs - this.bootOffsetMs;
    this.comparedAt = steady;
    this.wallOffsetMs = wallOffsetMs;
    this.bootOffsetMs = bootOffsetMs;
    if (Math.abs(wallJumpMs) > NOTICE_MS) {
      this.applyJump(steady, wallJumpMs, bootJumpMs);
    } else {
      this.applyCoherence(bootJumpMs !== undefined && Math.abs(bootJumpMs) <= NOTICE_MS);
    }
  }

  private applyJump(steady: number, wallJumpMs: number, bootJumpMs: number | undefined): void {
    const { handleSuspended, handleDoubt } = this.options;
    if (this.isBootUsable()) {
      if (bootJumpMs !== undefined && bootJumpMs > NOTICE_MS) {
        this.suspendedMs += bootJumpMs;
        handleSuspended(bootJumpMs);
      }
      return;
    }
    if (wallJumpMs > NOTICE_MS) {
      const at = steady + this.suspendedMs;
      this.doubts = this.doubts.filter((doubt) => at - doubt.at < DOUBT_KEPT_MS);
      this.doubts.push({ at, byMs: wallJumpMs });
      handleDoubt(wallJumpMs);
    }
  }

  private applyCoherence(isCoherent: boolean): void {
    const wasUsable = this.isBootUsable();
    this.coherentCount = isCoherent ? Math.min(COHERENT_COMPARISONS, this.coherentCount + 1) : 0;
    if (this.isBootUsable() !== wasUsable) {
      this.options.handleBootClock(!wasUsable);
    }
  }

  private isBootUsable(): boolean {
    return this.coherentCount >= COHERENT_COMPARISONS;
  }

  private readBootOffsetMs(steady: number): number | undefined {
    const bootMs = this.options.readBootMs();
    return bootMs === undefined ? undefined : bootMs - steady;
  }
}
