import { computeQuantile } from '../../common/computeQuantile';
import { sortAscending } from '../../common/sortAscending';

/** Minimum number of tasks from which a median is computed. */
const MIN_MEDIAN_TASK_COUNT = 3;

/** Paces of the tasks of one step, in milliseconds for one percent, by which stragglers are found. */
export class StepSpeeds {
  private readonly paces = new Map<number, number>();
  /** Paces normalized to a baseline endpoint. */
  private readonly normalizedPaces = new Map<number, number>();
  /** Cached until the next pace is recorded. */
  private medianPace: number | undefined;
  private normalizedMedianPace: number | undefined;

  /** Records the newest pace of a task, and the pace normalized to a baseline endpoint. */
  recordPace(index: number, msPerPercent: number, normalizedMsPerPercent = msPerPercent): void {
    this.paces.set(index, msPerPercent);
    this.normalizedPaces.set(index, normalizedMsPerPercent);
    this.medianPace = undefined;
    this.normalizedMedianPace = undefined;
  }

  /** Returns the median pace; undefined while too few are known. */
  getMedianPace(): number | undefined {
    if (this.paces.size < MIN_MEDIAN_TASK_COUNT) {
      return undefined;
    }
    this.medianPace ??= computeQuantile(sortAscending(this.paces.values()), 0.5);
    return this.medianPace;
  }

  /** Returns the median of the normalized paces; undefined while too few are known. */
  getNormalizedMedianPace(): number | undefined {
    if (this.normalizedPaces.size < MIN_MEDIAN_TASK_COUNT) {
      return undefined;
    }
    this.normalizedMedianPace ??= computeQuantile(sortAscending(this.normalizedPaces.values()), 0.5);
    return this.normalizedMedianPace;
  }
}
