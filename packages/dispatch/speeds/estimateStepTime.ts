import { computeMedian } from './computeMedian';
import type { SiblingTime } from './SiblingTime';
import type { RunTimeDistribution } from './RunTimeDistribution';

/** Estimated run time of a step's tasks on a baseline endpoint. */
interface StepTimeEstimate {
  /** Natural logarithm of milliseconds. */
  readonly logMs: number;
  /** Variance of the estimate `logMs`. */
  readonly variance: number;
}

/** Ratio of the variance of the median of normal values to that of their mean. */
const MEDIAN_VARIANCE_FACTOR = 1.57;

/**
 * Estimates the run time of a step's tasks on a baseline endpoint from the distribution over all such steps and the median of the times on
 * other endpoints, weighted by their inverse variances; from the distribution alone when there are no times.
 */
export const estimateStepTime = (
  runTime: RunTimeDistribution,
  siblings: readonly SiblingTime[],
): StepTimeEstimate => {
  const taskVariance = runTime.taskSpread ** 2;
  const stepVariance = Math.max(taskVariance, runTime.spread ** 2 - taskVariance);
  if (siblings.length === 0) {
    return { logMs: runTime.logMs, variance: stepVariance };
  }
  const correction = siblings.reduce((sum, { variance }) => sum + variance, 0) / siblings.length;
  const siblingVariance = (MEDIAN_VARIANCE_FACTOR * (taskVariance + correction)) / siblings.length;
  const weight = 1 / siblingVariance + 1 / stepVariance;
  const logMs = computeMedian(siblings.map((sibling) => sibling.logMs));
  return {
    logMs: (logMs / siblingVariance + runTime.logMs / stepVariance) / weight,
    variance: 1 / weight,
  };
};
