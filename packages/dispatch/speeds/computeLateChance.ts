import type { RunTimeDistribution } from './RunTimeDistribution';

/** Step and endpoint for which the probability of lateness is computed. */
interface LatenessInput {
  /** Distribution of the tasks' run times. */
  readonly runTime: RunTimeDistribution;
  /** Number of tasks of the step, which ends with the last one. */
  readonly taskCount: number;
  /** Ratio of run times on the endpoint to the baseline. */
  readonly ratio: number;
  /** Time left for the step, in milliseconds. */
  readonly leftMs: number;
}

/** Lower bound on the standard deviation between steps, since recent estimates may have been right by chance. */
const MIN_STEP_SPREAD = 0.1;
/** Scales the logistic function to approximate the normal distribution function. */
const LOGISTIC_SLOPE = 1.702;

/** Returns the approximate expected maximum of `count` standard normal values. */
const computeExpectedMaximum = (count: number): number => Math.log((count - 0.375) / 0.625) / LOGISTIC_SLOPE;

/** Returns the probability, 0 to 1, that a step takes longer than the time left if its longest task runs on an endpoint with the ratio. */
export const computeLateChance = ({ runTime, taskCount, ratio, leftMs }: LatenessInput): number => {
  if (leftMs <= 0) {
    return 1;
  }
  const stepSpread = Math.sqrt(Math.max(MIN_STEP_SPREAD ** 2, runTime.spread ** 2 - runTime.taskSpread ** 2));
  const logLastMs = runTime.logMs + runTime.taskSpread * computeExpectedMaximum(taskCount) + Math.log(ratio);
  return 1 / (1 + Math.exp((LOGISTIC_SLOPE * (Math.log(leftMs) - logLastMs)) / stepSpread));
};
