import { readQuantile } from '../../common/readQuantile';
import { toSorted } from '../../common/toSorted';

/** Fewer runs than this say nothing about what is usual for a step. */
const MIN_SAMPLES = 3;

/** How fast the runs of one step work, in milliseconds for one percent, to tell slow ones from their siblings. */
export class StepSpeeds {
  private readonly paces = new Map<number, number>();
  /** Paces as they would be on a usual endpoint. */
  private readonly corrected = new Map<number, number>();
  /** Both kept until the next pace comes in, since they are read for each run of the step. */
  private median: number | undefined;
  private correctedMedian: number | undefined;

  /** Records the newest pace of a task; that of a stalled one grows. */
  recordPace(index: number, msPerPercent: number, corrected = msPerPercent): void {
    this.paces.set(index, msPerPercent);
    this.corrected.set(index, corrected);
    this.median = undefined;
    this.correctedMedian = undefined;
  }

  /** The median pace; undefined while too few are known. */
  getMedian(): number | undefined {
    if (this.paces.size < MIN_SAMPLES) {
      return undefined;
    }
    this.median ??= readQuantile(toSorted(this.paces.values()), 0.5);
    return this.median;
  }

  /** The median of the paces as they would be on a usual endpoint; undefined while too few are known. */
  getNormalizedMedian(): number | undefined {
    if (this.corrected.size < MIN_SAMPLES) {
      return undefined;
    }
    this.correctedMedian ??= readQuantile(toSorted(this.corrected.values()), 0.5);
    return this.correctedMedian;
  }
}
