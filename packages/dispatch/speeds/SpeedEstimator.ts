import type { SpeedPrior } from './SpeedPrior';

/** Ratio of one run's time on an endpoint to its baseline time, with its variance. */
interface SpeedSample {
  /** Natural logarithm of the ratio of a run's time to its baseline time. */
  readonly logRatio: number;
  /** Variance of `logRatio` by chance. */
  readonly variance: number;
  /** Key of the run's step, `JOB.REPETITION.STEP`. Consecutive samples of one step count once when changes of speed are detected. */
  readonly stepKey: string;
}

/** Normal distribution of the natural logarithm of the ratio of run times to the baseline. */
interface NormalEstimate {
  readonly mean: number;
  readonly variance: number;
}

/** Half-life of the weight of samples. */
const WEIGHT_HALF_LIFE_MS = 20_000;
/** Deviation from the estimate at which samples are clipped, in standard deviations, since single runs may take very long. */
const CLIP_DEVIATIONS = 2;
/** Deviation from the estimate, in standard deviations, beyond which a sample may indicate a change of the endpoint's speed. */
const SPEED_CHANGE_DEVIATIONS = 2.5;
/** Number of consecutive steps beyond `SPEED_CHANGE_DEVIATIONS` to one side that count as a change of speed. */
const MIN_SPEED_CHANGE_STREAK = 2;
/** Deviation of an endpoint's own estimate from its group's, in standard deviations, beyond which the endpoint is an outlier. */
const OUTLIER_DEVIATIONS = 3.5;
/** Minimum variance of the prior that is used for outliers. */
const MIN_OUTLIER_PRIOR_VARIANCE = 0.35 ** 2;

/** Bayesian estimate of the speed of one endpoint, by samples whose weight decays. */
export class SpeedEstimator {
  /** Sum of the inverse variances of the samples, decayed as of `decayedAt`. */
  private totalWeight = 0;
  /** Sum of the samples' `logRatio`, weighted by their inverse variances, decayed as of `decayedAt`. */
  private weightedSum = 0;
  /** Monotonic time of the latest decay. */
  private decayedAt = 0;
  /** Monotonic time of the latest sample. */
  private lastSampleAt = 0;
  private sampleCount = 0;
  /** Number of steps with samples since the latest change of speed. */
  private stableStepCount = 0;
  /** Number of latest consecutive steps that deviated beyond `SPEED_CHANGE_DEVIATIONS` to one side; negative if faster than estimated. */
  private deviationStreak = 0;
  /** Key of the latest sample's step. */
  private lastStepKey = '';

  /** Returns the number of samples so far, regardless of decay and changes of speed. */
  countSamples(): number {
    return this.sampleCount;
  }

  /** Returns the monotonic time of the latest sample; 0 before the first. */
  getLastSampleAt(): number {
    return this.lastSampleAt;
  }

  /** Returns the number of steps with samples since the latest change of speed. */
  countStableSteps(): number {
    return this.stableStepCount;
  }

  /**
   * Adds a sample, clipped to a range around the estimate by the earlier samples and the prior. If it completes a streak of deviating
   * steps, the speed counts as changed: the earlier samples are discarded, and the sample is not clipped.
   */
  addSample({ logRatio, variance, stepKey }: SpeedSample, prior: SpeedPrior, now: number): void {
    this.applyDecay(now);
    this.lastSampleAt = now;
    const posterior = this.computePosterior(prior);
    const expected = Math.sqrt(posterior.variance + variance);
    const bound = CLIP_DEVIATIONS * expected;
    const deviation = logRatio - posterior.mean;
    this.sampleCount += 1;
    const isNewStep = stepKey !== this.lastStepKey;
    this.lastStepKey = stepKey;
    this.deviationStreak = isNewStep ? this.computeStreak(deviation / expected) : this.deviationStreak;
    const isChanged = isNewStep && Math.abs(this.deviationStreak) >= MIN_SPEED_CHANGE_STREAK;
    if (isChanged) {
      this.totalWeight = 0;
      this.weightedSum = 0;
      this.stableStepCount = 0;
    } else if (isNewStep) {
      this.stableStepCount += 1;
    }
    const clipped = isChanged ? logRatio : posterior.mean + Math.max(-bound, Math.min(bound, deviation));
    this.totalWeight += 1 / variance;
    this.weightedSum += clipped / variance;
  }

  /**
   * Returns the estimate by the samples and the prior of the endpoint's group. If the samples are an outlier to the prior, its variance is
   * increased, so that a faulty endpoint among similar ones is recognized.
   */
  computePosterior(prior: SpeedPrior): NormalEstimate {
    const priorVariance = this.isOutlier(prior)
      ? Math.max(prior.variance, MIN_OUTLIER_PRIOR_VARIANCE)
      : prior.variance;
    const weight = this.totalWeight + 1 / priorVariance;
    return { mean: (this.weightedSum + prior.mean / priorVariance) / weight, variance: 1 / weight };
  }

  /** Reduces the weight of the samples exponentially by the time since the latest decay. */
  applyDecay(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / WEIGHT_HALF_LIFE_MS);
    this.totalWeight *= factor;
    this.weightedSum *= factor;
    this.decayedAt = now;
  }

  /** Returns the estimate by the samples alone; undefined when there are none. */
  computeOwnEstimate(): NormalEstimate | undefined {
    return this.totalWeight === 0
      ? undefined
      : { mean: this.weightedSum / this.totalWeight, variance: 1 / this.totalWeight };
  }

  /** Returns whether the estimate by the samples alone deviates from the prior beyond `OUTLIER_DEVIATIONS`; false without samples. */
  private isOutlier(prior: SpeedPrior): boolean {
    const own = this.computeOwnEstimate();
    const bound =
      own === undefined ? Infinity : OUTLIER_DEVIATIONS * Math.sqrt(own.variance + prior.variance);
    return own !== undefined && Math.abs(own.mean - prior.mean) > bound;
  }

  /** Returns the streak after a step with a deviation in standard deviations: 0 if it is small, otherwise one longer or begun anew. */
  private computeStreak(deviations: number): number {
    if (Math.abs(deviations) <= SPEED_CHANGE_DEVIATIONS) {
      return 0;
    }
    const side = Math.sign(deviations);
    return Math.sign(this.deviationStreak) === side ? this.deviationStreak + side : side;
  }
}
