import type { SpeedPrior } from './SpeedPrior';

interface SpeedEvidence {
  /** Natural logarithm of a run's time by its usual time. */
  readonly logRatio: number;
  /** How far chance may have moved it. */
  readonly variance: number;
  /** The step of the run: what is unusual of a step shows in all its runs. */
  readonly step: string;
}

interface SpeedBelief {
  readonly mean: number;
  readonly variance: number;
}

/** What is known fades by half in this time, so that slow changes are followed. */
const HALF_LIFE_MS = 20_000;
/** A run further off than this counts as no further: single runs take very long now and then. */
const MAX_DEVIATIONS = 2;
/** A run so far off is chance, or the endpoint has changed. */
const FAR_DEVIATIONS = 2.5;
/** Runs of so many steps in a row that are far off on one side are a change, not chance. */
const CHANGE_STREAK = 2;
/** An endpoint whose own runs are so far from its group is none of it. */
const ODD_DEVIATIONS = 3.5;
/** Variance of what to expect of such an endpoint. */
const ODD_VARIANCE = 0.35 ** 2;

/** Evidence of the speed of one endpoint. */
export class SpeedTrack {
  /** Sum of the inverse variances of the evidence, and of the evidence weighted with them. */
  private weight = 0;
  private weightedSum = 0;
  private fadedAt = 0;
  private recordedAt = 0;
  private count = 0;
  /** Steps whose runs came in after that with which the endpoint last seemed to have changed. */
  private steadyCount = 0;
  /** Steps in a row whose runs were far off, negative for those that were too fast. */
  private streak = 0;
  private lastStep = '';

  readCount(): number {
    return this.count;
  }

  /** When the newest run came in. */
  readRecordedAt(): number {
    return this.recordedAt;
  }

  readSteadyCount(): number {
    return this.steadyCount;
  }

  recordRun({ logRatio, variance, step }: SpeedEvidence, prior: SpeedPrior, now: number): void {
    this.applyFading(now);
    this.recordedAt = now;
    const belief = this.readBelief(prior);
    const expected = Math.sqrt(belief.variance + variance);
    const bound = MAX_DEVIATIONS * expected;
    const deviation = logRatio - belief.mean;
    this.count += 1;
    const isNewStep = step !== this.lastStep;
    this.lastStep = step;
    this.streak = isNewStep ? this.toNextStreak(deviation / expected) : this.streak;
    const isChanged = isNewStep && Math.abs(this.streak) >= CHANGE_STREAK;
    if (isChanged) {
      this.weight = 0;
      this.weightedSum = 0;
      this.steadyCount = 0;
    } else if (isNewStep) {
      this.steadyCount += 1;
    }
    const counted = isChanged ? logRatio : belief.mean + Math.max(-bound, Math.min(bound, deviation));
    this.weight += 1 / variance;
    this.weightedSum += counted / variance;
  }

  /**
   * What to believe of the endpoint, given what is expected of its group. Its own runs count against what a group of like endpoints
   * lets expect only where they are far from it: among endpoints that are alike one may be sick.
   */
  readBelief(prior: SpeedPrior): SpeedBelief {
    const priorVariance = this.isOdd(prior) ? Math.max(prior.variance, ODD_VARIANCE) : prior.variance;
    const weight = this.weight + 1 / priorVariance;
    return { mean: (this.weightedSum + prior.mean / priorVariance) / weight, variance: 1 / weight };
  }

  /** Lets what is known fade up to a time. */
  applyFading(now: number): void {
    const share = 0.5 ** (Math.max(0, now - this.fadedAt) / HALF_LIFE_MS);
    this.weight *= share;
    this.weightedSum *= share;
    this.fadedAt = now;
  }

  /** What the endpoint's own runs tell, without its group; undefined when they tell nothing. */
  readOwn(): SpeedBelief | undefined {
    return this.weight === 0
      ? undefined
      : { mean: this.weightedSum / this.weight, variance: 1 / this.weight };
  }

  private isOdd(prior: SpeedPrior): boolean {
    const own = this.readOwn();
    const bound = own === undefined ? Infinity : ODD_DEVIATIONS * Math.sqrt(own.variance + prior.variance);
    return own !== undefined && Math.abs(own.mean - prior.mean) > bound;
  }

  private toNextStreak(deviations: number): number {
    if (Math.abs(deviations) <= FAR_DEVIATIONS) {
      return 0;
    }
    const side = Math.sign(deviations);
    return Math.sign(this.streak) === side ? this.streak + side : side;
  }
}
