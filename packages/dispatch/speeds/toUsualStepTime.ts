import { readMedian } from './readMedian';
import type { SiblingTime } from './SiblingTime';
import type { UsualTime } from './UsualTime';

interface UsualStepTime {
  readonly logMs: number;
  /** How much of it is not known. */
  readonly variance: number;
}

/** Variance of a median by that of a mean of normal values. */
const MEDIAN_FACTOR = 1.57;

/**
 * The usual time of a step's tasks, as a natural logarithm of milliseconds: what is known of all such steps, weighed with the times of
 * its own tasks elsewhere.
 */
export const toUsualStepTime = (usual: UsualTime, siblings: readonly SiblingTime[]): UsualStepTime => {
  const taskVariance = usual.taskSpread ** 2;
  const stepVariance = Math.max(taskVariance, usual.spread ** 2 - taskVariance);
  if (siblings.length === 0) {
    return { logMs: usual.logMs, variance: stepVariance };
  }
  const correction = siblings.reduce((sum, { variance }) => sum + variance, 0) / siblings.length;
  const siblingVariance = (MEDIAN_FACTOR * (taskVariance + correction)) / siblings.length;
  const weight = 1 / siblingVariance + 1 / stepVariance;
  const logMs = readMedian(siblings.map((sibling) => sibling.logMs));
  return {
    logMs: (logMs / siblingVariance + usual.logMs / stepVariance) / weight,
    variance: 1 / weight,
  };
};
