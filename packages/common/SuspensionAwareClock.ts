import type { Clock } from './Clock';

interface SuspensionAwareClockOptions {
  /** Clock of the machine, whose monotonic time does not advance during a suspension. */
  readonly source: Clock;
  /** Milliseconds since the machine booted, including suspensions; undefined if not available. */
  readonly readUptimeMs: () => number | undefined;
  /** Called after a suspension of the machine. */
  readonly handleSuspension: (byMs: number) => void;
  /** Called after a forward step of the wall clock that may have been a suspension, since the uptime clock is not usable. */
  readonly handleUnverifiedStep: (byMs: number) => void;
  /** Called when the uptime clock becomes usable or unusable. */
  readonly handleUptimeClockChange: (isUsable: boolean) => void;
}

/** Forward step of the wall clock that may have been a suspension. */
interface UnverifiedStep {
  /** Monotonic time at which the step was seen. */
  readonly at: number;
  readonly byMs: number;
}

/** Smaller differences between clocks are noise: the uptime clock has a resolution of 10 ms. */
const MIN_STEP_MS = 50;
/** Interval at which the clocks are compared without a step, so that slow drift does not add up to one. */
const COMPARISON_INTERVAL_MS = 500;
/**
 * Consecutive comparisons in which the uptime clock must agree with the monotonic clock before it is used. Some machines report
 * the uptime of another machine.
 */
const MIN_COHERENT_COMPARISONS = 4;
/** Retention of unverified steps; exceeds the leases that are checked with `getMaxElapsedSince`. */
const UNVERIFIED_STEP_RETENTION_MS = 60_000;

/**
 * Monotonic clock that includes the time for which the machine was suspended, so that leases and cached configuration expire during
 * a suspension. A suspension appears as a step of the wall clock; the uptime clock distinguishes it from a change of the time of day.
 * If the uptime clock is not usable, a step counts only in `getMaxElapsedSince`: counting it as elapsed time could release tasks that
 * still run elsewhere.
 */
export class SuspensionAwareClock {
  private suspendedMs = 0;
  /** Difference between the wall clock and the monotonic clock at the last comparison. */
  private wallOffsetMs: number;
  /** Difference between the uptime clock and the monotonic clock at the last comparison; undefined if not available. */
  private uptimeOffsetMs: number | undefined;
  private comparedAt: number;
  private coherentCount = 0;
  private unverifiedSteps: UnverifiedStep[] = [];

  constructor(private readonly options: SuspensionAwareClockOptions) {
    const { source } = options;
    this.comparedAt = source.getNow();
    this.wallOffsetMs = source.getWallTime() - this.comparedAt;
    this.uptimeOffsetMs = this.computeUptimeOffsetMs(this.comparedAt);
  }

  getNow(): number {
    const { source } = this.options;
    const monotonic = source.getNow();
    const wallOffsetMs = source.getWallTime() - monotonic;
    const hasStepped = Math.abs(wallOffsetMs - this.wallOffsetMs) > MIN_STEP_MS;
    if (hasStepped || monotonic - this.comparedAt >= COMPARISON_INTERVAL_MS) {
      this.compareClocks(monotonic, wallOffsetMs);
    }
    return monotonic + this.suspendedMs;
  }

  getWallTime(): number {
    return this.options.source.getWallTime();
  }

  /** Returns an upper bound of the milliseconds elapsed since a monotonic time. */
  getMaxElapsedSince(since: number): number {
    const now = this.getNow();
    return this.unverifiedSteps.reduce(
      (elapsedMs, { at, byMs }) => (since <= at ? elapsedMs + byMs : elapsedMs),
      now - since,
    );
  }

  private compareClocks(monotonic: number, wallOffsetMs: number): void {
    const wallStepMs = wallOffsetMs - this.wallOffsetMs;
    const uptimeOffsetMs = this.computeUptimeOffsetMs(monotonic);
    const uptimeStepMs =
      uptimeOffsetMs === undefined || this.uptimeOffsetMs === undefined
        ? undefined
        : uptimeOffsetMs - this.uptimeOffsetMs;
    this.comparedAt = monotonic;
    this.wallOffsetMs = wallOffsetMs;
    this.uptimeOffsetMs = uptimeOffsetMs;
    if (Math.abs(wallStepMs) > MIN_STEP_MS) {
      this.handleStep(monotonic, wallStepMs, uptimeStepMs);
    } else {
      this.recordCoherence(uptimeStepMs !== undefined && Math.abs(uptimeStepMs) <= MIN_STEP_MS);
    }
  }

  private handleStep(monotonic: number, wallStepMs: number, uptimeStepMs: number | undefined): void {
    const { handleSuspension, handleUnverifiedStep } = this.options;
    if (this.isUptimeUsable()) {
      if (uptimeStepMs !== undefined && uptimeStepMs > MIN_STEP_MS) {
        this.suspendedMs += uptimeStepMs;
        handleSuspension(uptimeStepMs);
      }
      return;
    }
    if (wallStepMs > MIN_STEP_MS) {
      const at = monotonic + this.suspendedMs;
      this.unverifiedSteps = this.unverifiedSteps.filter(
        (step) => at - step.at < UNVERIFIED_STEP_RETENTION_MS,
      );
      this.unverifiedSteps.push({ at, byMs: wallStepMs });
      handleUnverifiedStep(wallStepMs);
    }
  }

  private recordCoherence(isCoherent: boolean): void {
    const wasUsable = this.isUptimeUsable();
    this.coherentCount = isCoherent ? Math.min(MIN_COHERENT_COMPARISONS, this.coherentCount + 1) : 0;
    if (this.isUptimeUsable() !== wasUsable) {
      this.options.handleUptimeClockChange(!wasUsable);
    }
  }

  private isUptimeUsable(): boolean {
    return this.coherentCount >= MIN_COHERENT_COMPARISONS;
  }

  private computeUptimeOffsetMs(monotonic: number): number | undefined {
    const uptimeMs = this.options.readUptimeMs();
    return uptimeMs === undefined ? undefined : uptimeMs - monotonic;
  }
}
