import type { UsualTime } from './UsualTime';

/** Time beside this one that tasks of a step have. */
interface StepTime {
  readonly usual: UsualTime;
  /** Tasks of the step; the last to end decides. */
  readonly count: number;
  /** Time of a run on the endpoint by that on a usual one. */
  readonly ratio: number;
  readonly leftMs: number;
}

/** Estimates that happened to be right do not make the next one certain. */
const MIN_SPREAD = 0.1;
/** With this factor a logistic curve is close to the sum of normal values. */
const LOGISTIC_FACTOR = 1.702;

/** How many standard deviations the largest of so many normal values is expected above their mean. */
const measureLargest = (count: number): number => Math.log((count - 0.375) / 0.625) / LOGISTIC_FACTOR;

/** The chance, 0 to 1, that a step takes longer than the time left when the last of its tasks runs on an endpoint of a ratio. */
export const measureLateChance = ({ usual, count, ratio, leftMs }: StepTime): number => {
  if (leftMs <= 0) {
    return 1;
  }
  const stepSpread = Math.sqrt(Math.max(MIN_SPREAD ** 2, usual.spread ** 2 - usual.taskSpread ** 2));
  const logLastMs = usual.logMs + usual.taskSpread * measureLargest(count) + Math.log(ratio);
  return 1 / (1 + Math.exp((LOGISTIC_FACTOR * (Math.log(leftMs) - logLastMs)) / stepSpread));
};
