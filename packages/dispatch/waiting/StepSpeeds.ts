import { computeQuantile } from '../../common/computeQuantile';
import { sortAscending } from '../../common/sortAscending';

/** Minimum number of tasks from which a median is computed. */
const MIN_SAMPLES = 3;

/** Paces of the tasks of one step, in milliseconds for one percent, by which stragglers are found. */
export class StepSpeeds {
  private readonly paces = new Map<number, number>();
  /** Paces normalized to a baseline endpoint. */
  private readonly normalized = new Map<number, number>();
  /** Cached until the next pace is recorded. */
  private median: number | undefined;
  private normalizedMedian: number | undefined;

  /** Records the newest pace of a task, and the pace normalized to a baseline endpoint. */
  recordPace(index: number, msPerPercent: number, normalizedMsPerPercent = msPerPercent): void {
    this.paces.set(index, msPerPercent);
    this.normalized.set(index, normalizedMsPerPercent);
    this.median = undefined;
    this.normalizedMedian = undefined;
  }

  /** Returns the median pace; undefined while too few are known. */
  getMedian(): number | undefined {
    if (this.paces.size < MIN_SAMPLES) {
      return undefined;
    }
    this.median ??= computeQuantile(sortAscending(this.paces.values()), 0.5);
    return this.median;
  }

  /** Returns the median of the normalized paces; undefined while too few are known. */
  getNormalizedMedian(): number | undefined {
    if (this.normalized.size < MIN_SAMPLES) {
      return undefined;
    }
    this.normalizedMedian ??= computeQuantile(sortAscending(this.normalized.values()), 0.5);
    return this.normalizedMedian;
  }
}
