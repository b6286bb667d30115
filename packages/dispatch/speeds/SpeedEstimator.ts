import type { SpeedPrior } from './SpeedPrior';

interface SpeedSample {
  /** Natural logarithm of the ratio of a run's time to its baseline time. */
  readonly logRatio: number;
  /** Variance of `logRatio` by chance. */
  readonly variance: number;
  /** The step of the run. Runs of one step share what is unusual about it. */
  readonly step: string;
}

/** A normal distribution of the natural logarithm of a ratio. */
interface NormalEstimate {
  readonly mean: number;
  readonly variance: number;
}

/** Half-life of the weight of samples, so that the estimate follows slow changes. */
const WEIGHT_HALF_LIFE_MS = 20_000;
/** Deviation at which samples are clipped, since single runs may take very long. */
const CLIP_DEVIATIONS = 2;
/** Deviation beyond which a sample may be a change of the endpoint's speed. */
const CHANGE_DEVIATIONS = 2.5;
/** Number of consecutive steps with such deviations to one side that count as a change. */
const CHANGE_STREAK = 2;
/** Deviation of an endpoint's own estimate from its group beyond which it is an outlier. */
const OUTLIER_DEVIATIONS = 3.5;
/** Minimum variance of the prior for outliers. */
const MIN_OUTLIER_PRIOR_VARIANCE = 0.35 ** 2;

/** Bayesian estimate of the speed of one endpoint, by samples whose weight decays. */
export class SpeedEstimator {
  /** Sum of the inverse variances of the samples. */
  private totalWeight = 0;
  /** Sum of the samples, weighted by their inverse variances. */
  private weightedSum = 0;
  private decayedAt = 0;
  private lastSampleAt = 0;
  private sampleCount = 0;
  /** Number of steps with samples since the latest change of speed. */
  private stableStepCount = 0;
  /** Number of consecutive steps beyond `CHANGE_DEVIATIONS`; negative for those that were too fast. */
  private deviationStreak = 0;
  private lastStep = '';

  countSamples(): number {
    return this.sampleCount;
  }

  /** Returns the monotonic time of the latest sample. */
  getLastSampleAt(): number {
    return this.lastSampleAt;
  }

  countStableSteps(): number {
    return this.stableStepCount;
  }

  addSample({ logRatio, variance, step }: SpeedSample, prior: SpeedPrior, now: number): void {
    this.applyDecay(now);
    this.lastSampleAt = now;
    const posterior = this.computePosterior(prior);
    const expected = Math.sqrt(posterior.variance + variance);
    const bound = CLIP_DEVIATIONS * expected;
    const deviation = logRatio - posterior.mean;
    this.sampleCount += 1;
    const isNewStep = step !== this.lastStep;
    this.lastStep = step;
    this.deviationStreak = isNewStep ? this.computeStreak(deviation / expected) : this.deviationStreak;
    const isChanged = isNewStep && Math.abs(this.deviationStreak) >= CHANGE_STREAK;
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
   * Returns the estimate by the samples and the prior of the endpoint's group. For outliers the prior is widened, so that a faulty endpoint
   * among similar ones is recognized.
   */
  computePosterior(prior: SpeedPrior): NormalEstimate {
    const priorVariance = this.isOutlier(prior)
      ? Math.max(prior.variance, MIN_OUTLIER_PRIOR_VARIANCE)
      : prior.variance;
    const weight = this.totalWeight + 1 / priorVariance;
    return { mean: (this.weightedSum + prior.mean / priorVariance) / weight, variance: 1 / weight };
  }

  /** Reduces the weight of the samples by the time since the last call. */
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

  private isOutlier(prior: SpeedPrior): boolean {
    const own = this.computeOwnEstimate();
    const bound =
      own === undefined ? Infinity : OUTLIER_DEVIATIONS * Math.sqrt(own.variance + prior.variance);
    return own !== undefined && Math.abs(own.mean - prior.mean) > bound;
  }

  private computeStreak(deviations: number): number {
    if (Math.abs(deviations) <= CHANGE_DEVIATIONS) {
      return 0;
    }
    const side = Math.sign(deviations);
    return Math.sign(this.deviationStreak) === side ? this.deviationStreak + side : side;
  }
}
