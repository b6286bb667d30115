/** Length of a slot, in which lines are counted together. */
const SLOT_MS = 1000;
/** Number of past slots in the window. */
const WINDOW_SLOTS = 4;

interface LineCounts {
  readonly number: number;
  jobLines: number;
  otherLines: number;
}

/** Rates of lines in a sliding window, written or not. */
export class LineRates {
  /** The slots of the window that have any line, newest last. */
  private recentSlots: LineCounts[] = [];

  recordLine(isJobLine: boolean, now: number): void {
    const slot = this.getSlot(now);
    if (isJobLine) {
      slot.jobLines += 1;
    } else {
      slot.otherLines += 1;
    }
  }

  /** Returns the highest number of lines of jobs in one second of the window. */
  getJobLineRate(): number {
    return Math.max(0, ...this.recentSlots.map(({ jobLines }) => jobLines));
  }

  /** Returns the mean number of lines not about jobs per second, over the seconds of the window that have any line. */
  computeOtherLineRate(): number {
    const sum = this.recentSlots.reduce((total, { otherLines }) => total + otherLines, 0);
    return sum / Math.max(1, this.recentSlots.length);
  }

  /** Returns the slot of a time, or the newest if that is later. A new slot is added, and those before the window are removed. */
  private getSlot(now: number): LineCounts {
    const number = Math.floor(now / SLOT_MS);
    const newest = this.recentSlots[this.recentSlots.length - 1];
    if (newest !== undefined && newest.number >= number) {
      return newest;
    }
    const slot = { number, jobLines: 0, otherLines: 0 };
    this.recentSlots = [...this.recentSlots.filter((one) => one.number >= number - WINDOW_SLOTS), slot];
    return slot;
  }
}
