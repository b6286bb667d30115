/** Fewer runs than this say nothing about what is usual for a step. */
const MIN_SAMPLES = 3;

/** How fast the runs of one step work, in milliseconds for one percent, to tell slow ones from their siblings. */
export class StepSpeeds {
  private readonly paces = new Map<number, number>();
  /** Kept until the next pace comes in, since it is read for each run of the step. */
  private median: number | undefined;

  /** Records the newest pace of a task; that of a stalled one grows. */
  recordPace(index: number, msPerPercent: number): void {
    this.paces.set(index, msPerPercent);
    this.median = undefined;
  }

  /** The median pace; undefined while too few are known. */
  readMedian(): number | undefined {
    if (this.paces.size < MIN_SAMPLES) {
      return undefined;
    }
    if (this.median === undefined) {
      const sorted = [...this.paces.values()].sort((left, right) => left - right);
      this.median = sorted[Math.floor((sorted.length - 1) / 2)];
    }
    return this.median;
  }
}
