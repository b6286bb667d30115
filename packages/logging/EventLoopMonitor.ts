import { performance, type EventLoopUtilization } from 'node:perf_hooks';
import type { Logger } from '../common/Logger';

interface EventLoopMonitorOptions {
  readonly logger: Logger;
  /** Interval at which `handleTick` is expected to be called, in milliseconds. */
  readonly tickIntervalMs: number;
  /** Returns whether this process leads. */
  readonly isLeading: () => boolean;
}

/** Minimum interval between two log lines, over which the utilization is computed. */
const WINDOW_MS = 1000;
/** Share of a window in which the event loop was busy, from which the window is logged. */
const MIN_BUSY_SHARE = 0.8;
/** Delay of a timer from which the window is logged. */
const MIN_DELAY_MS = 200;

/**
 * Logs when this process is short of processor time: its event loop was hardly idle, or ran a timer late. Whatever this process does by a
 * deadline is late then, and responses that have arrived wait to be read.
 */
export class EventLoopMonitor {
  private windowStartedAt: number | undefined;
  private windowUtilization: EventLoopUtilization | undefined;
  private lastTickAt: number | undefined;
  private longestDelayMs = 0;

  constructor(private readonly options: EventLoopMonitorOptions) {}

  /** Records the call of a periodic timer at a monotonic time. */
  handleTick(now: number): void {
    if (this.lastTickAt !== undefined) {
      const delayMs = now - this.lastTickAt - this.options.tickIntervalMs;
      this.longestDelayMs = Math.max(this.longestDelayMs, delayMs);
    }
    this.lastTickAt = now;
    this.windowStartedAt ??= now;
    if (now - this.windowStartedAt >= WINDOW_MS) {
      this.logWindow(now, now - this.windowStartedAt);
    }
  }

  private logWindow(now: number, windowMs: number): void {
    const busyShare = performance.eventLoopUtilization(this.windowUtilization).utilization;
    if (busyShare >= MIN_BUSY_SHARE || this.longestDelayMs >= MIN_DELAY_MS) {
      this.options.logger.info('Event loop is busy.', {
        busyShare: Math.round(busyShare * 100) / 100,
        longestDelayMs: Math.round(this.longestDelayMs),
        windowMs: Math.round(windowMs),
        isLeading: this.options.isLeading(),
      });
    }
    this.windowStartedAt = now;
    this.windowUtilization = performance.eventLoopUtilization();
    this.longestDelayMs = 0;
  }
}
