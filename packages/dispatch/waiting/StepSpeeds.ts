import { computeQuantile } from '../../common/computeQuantile';
import { setBounded } from '../../common/setBounded';
import { sortAscending } from '../../common/sortAscending';

/** Number of tasks with a recorded pace from which the median is known. */
const MIN_MEDIAN_TASK_COUNT = 3;
/** Number of tasks whose paces are kept. The medians are computed from all of them after each change. */
const MAX_KEPT_TASKS = 512;

/** Newest paces of the tasks of one step, in milliseconds for one percent of progress. Stragglers are compared with their median. */
export class StepSpeeds {
  /** By the index of the task. */
  private readonly paces = new Map<number, number>();
  /** Paces that the tasks would have on a baseline endpoint, by the index of the task. */
  private readonly normalizedPaces = new Map<number, number>();
  /** Cached median of `paces`; undefined until it is computed after the last recorded pace. */
  private medianPace: number | undefined;
  /** Cached median of `normalizedPaces`; undefined until it is computed after the last recorded pace. */
  private normalizedMedianPace: number | undefined;

  /** Replaces the pace of a task, and the pace that it would have on a baseline endpoint, which is the same by default. */
  recordPace(index: number, msPerPercent: number, normalizedMsPerPercent = msPerPercent): void {
    setBounded(this.paces, index, msPerPercent, MAX_KEPT_TASKS);
    setBounded(this.normalizedPaces, index, normalizedMsPerPercent, MAX_KEPT_TASKS);
    this.medianPace = undefined;
    this.normalizedMedianPace = undefined;
  }

  /** Returns the median pace of the tasks; undefined while fewer than `MIN_MEDIAN_TASK_COUNT` have one. */
  getMedianPace(): number | undefined {
    if (this.paces.size < MIN_MEDIAN_TASK_COUNT) {
      return undefined;
    }
    this.medianPace ??= computeQuantile(sortAscending(this.paces.values()), 0.5);
    return this.medianPace;
  }

  /** Returns the median pace on a baseline endpoint; undefined while fewer than `MIN_MEDIAN_TASK_COUNT` tasks have one. */
  getNormalizedMedianPace(): number | undefined {
    if (this.normalizedPaces.size < MIN_MEDIAN_TASK_COUNT) {
      return undefined;
    }
    this.normalizedMedianPace ??= computeQuantile(sortAscending(this.normalizedPaces.values()), 0.5);
    return this.normalizedMedianPace;
  }
}
