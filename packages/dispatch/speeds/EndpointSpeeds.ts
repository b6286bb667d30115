import { addToList } from '../../common/addToList';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { EndpointProfile } from '../endpoints/EndpointProfile';
import type { SpeedClass } from './SpeedClass';
import type { SpeedEstimate } from './SpeedEstimate';
import { SpeedGroups } from './SpeedGroups';
import { SpeedEstimator } from './SpeedEstimator';

type SpeedSample = Parameters<SpeedEstimator['addSample']>[0];

/** Speed of one incarnation, by its own samples and its groups. */
interface EndpointSpeed {
  /** Estimator by the endpoint's own samples. */
  readonly ownEstimator: SpeedEstimator;
  readonly service: ServiceName;
  /** Labels and hall of the endpoint. */
  readonly groups: readonly string[];
  /** The significant ratio, as of the latest sample or tick; stored since it is read for each endpoint of each step that is placed. */
  ratio: number;
  /** The class last returned by `takeChanges`. */
  reportedClass: SpeedClass;
}

/** A change of an endpoint's speed class, with the estimate that it follows from. */
interface ClassChange {
  readonly endpoint: EndpointIncarnation;
  readonly speedClass: SpeedClass;
  readonly estimate: SpeedEstimate;
  /** Number of the endpoint's own samples. */
  readonly sampleCount: number;
  /** Monotonic time of the endpoint's latest own sample. */
  readonly lastSampleAt: number;
}

/** Minimum number of steps with samples since the latest change of speed for an endpoint's own samples to count. */
const MIN_STABLE_STEPS = 2;
/** A ratio is significant when its logarithm differs from 0 by more than `MIN_LOG_DIFFERENCE` plus this many standard deviations. */
const SIGNIFICANT_DEVIATIONS = 2.5;
/** Minimum difference of a significant ratio from 1, as a natural logarithm. */
const MIN_LOG_DIFFERENCE = Math.log(1.1);
/** Natural logarithm of the factor to whose powers significant ratios are rounded, so that similar endpoints compare equal. */
const LOG_RATIO_STEP = Math.log(1.1);

/** Inputs of the estimate of an endpoint's speed; without an own estimator the estimate is that of the groups. */
type SpeedQuery = Pick<EndpointSpeed, 'service' | 'groups'> & { readonly ownEstimator?: SpeedEstimator };

/** Returns the names of the groups of an endpoint: its labels and its hall. */
const listGroups = ({ labels, hall }: EndpointProfile): readonly string[] => [...labels, `hall ${hall}`];

/**
 * Estimates the speed of each endpoint by how long runs take there, as a ratio to their baseline time: above 1 for slow endpoints.
 * Endpoints with few runs are estimated by their label or hall. The baseline of a service is its median endpoint.
 */
export class EndpointSpeeds {
  /** Speeds of the incarnations that have had a sample. */
  private readonly speeds = new Map<EndpointIncarnation, EndpointSpeed>();
  /** Group priors and baseline of each service. */
  private readonly groupsByService = new Map<ServiceName, SpeedGroups>();

  /** Adds the ratio of a run's time to its baseline time as a sample of an endpoint, and updates the endpoint's significant ratio. */
  recordRun(profile: EndpointProfile, sample: SpeedSample, now: number): void {
    const speed = this.getOrCreateSpeed(profile);
    speed.ownEstimator.addSample(sample, this.getServiceGroups(speed.service).choosePrior(speed.groups), now);
    speed.ratio = this.computeStableRatio(speed);
  }

  /**
   * Adds the ratio of a gang's run time to its baseline time as a sample. A gang runs at the speed of its slowest member, so the sample
   * counts for the members estimated to be the slowest, and for those estimated to be slower than the gang was; not for faster ones.
   */
  recordGang(members: readonly EndpointProfile[], sample: SpeedSample, now: number): void {
    const logRatios = members.map((member) => Math.log(this.getEstimate(member).ratio));
    const slowest = Math.max(...logRatios);
    const limiting = members.filter(
      (_, index) => logRatios[index] === slowest || logRatios[index]! > sample.logRatio,
    );
    const byIncarnation = new Map(limiting.map((member) => [member.incarnation, member]));
    // If the gang was slower than estimated, any one of these members may be the cause, so the sample has less weight for each.
    const variance = sample.variance * (sample.logRatio > slowest ? byIncarnation.size : 1);
    byIncarnation.forEach((member) => this.recordRun(member, { ...sample, variance }, now));
  }

  /** Returns the speed estimate for an endpoint by its own samples and its groups; by its groups alone while it has no samples. */
  getEstimate(profile: EndpointProfile): SpeedEstimate {
    return this.computeEstimate(this.speeds.get(profile.incarnation) ?? this.toQuery(profile));
  }

  /** Returns the speed estimate for an incarnation whose profile may be gone; that of the whole service while it has no samples. */
  getIncarnationEstimate(incarnation: EndpointIncarnation, service: ServiceName): SpeedEstimate {
    return this.computeEstimate(this.speeds.get(incarnation) ?? { service, groups: [] });
  }

  /** Returns the estimated ratio of run times on an endpoint to the baseline, rounded to a power of 1.1; 1 unless it is significant. */
  getSignificantRatio(profile: EndpointProfile): number {
    return this.speeds.get(profile.incarnation)?.ratio ?? this.computeSignificantRatio(this.toQuery(profile));
  }

  /** Decays samples, forgets absent incarnations, and updates the groups, the baselines and the significant ratios. */
  handleTick(now: number, isPresent: (incarnation: EndpointIncarnation) => boolean): void {
    for (const [incarnation, { ownEstimator }] of this.speeds) {
      if (isPresent(incarnation)) {
        ownEstimator.applyDecay(now);
      } else {
        this.speeds.delete(incarnation);
      }
    }
    this.updateGroups();
    for (const speed of this.speeds.values()) {
      speed.ratio = this.computeStableRatio(speed);
    }
  }

  /** Returns the number of endpoints with samples in each speed class. */
  countByClass(): Readonly<Record<SpeedClass, number>> {
    const counts = { slow: 0, usual: 0, fast: 0 };
    for (const { ratio } of this.speeds.values()) {
      counts[this.toSpeedClass(ratio)] += 1;
    }
    return counts;
  }

  /** Returns at most `limit` changes of speed classes that have not been returned before, and marks them as returned. */
  takeChanges(limit: number): readonly ClassChange[] {
    const changes: ClassChange[] = [];
    for (const [endpoint, speed] of this.speeds) {
      const speedClass = this.toSpeedClass(speed.ratio);
      if (speedClass !== speed.reportedClass && changes.length < limit) {
        speed.reportedClass = speedClass;
        const estimate = this.computeEstimate(speed);
        changes.push({
          endpoint,
          speedClass,
          estimate,
          sampleCount: speed.ownEstimator.countSamples(),
          lastSampleAt: speed.ownEstimator.getLastSampleAt(),
        });
      }
    }
    return changes;
  }

  /** Updates the priors and baseline of each service from its endpoints that have enough samples of their own. */
  private updateGroups(): void {
    const byService = new Map<ServiceName, EndpointSpeed[]>();
    for (const speed of this.speeds.values()) {
      addToList(byService, speed.service, speed);
    }
    for (const [service, speeds] of byService) {
      const members = speeds.flatMap(({ ownEstimator, groups }) => {
        const own =
          ownEstimator.countStableSteps() >= MIN_STABLE_STEPS ? ownEstimator.computeOwnEstimate() : undefined;
        return own === undefined ? [] : [{ ...own, groups }];
      });
      this.getServiceGroups(service).updatePriors(members, speeds.length);
    }
  }

  /** Returns the groups of a service, created when they are first used. */
  private getServiceGroups(service: ServiceName): SpeedGroups {
    const groups = this.groupsByService.get(service) ?? new SpeedGroups();
    this.groupsByService.set(service, groups);
    return groups;
  }

  /** Returns the speed of an endpoint, created without samples when it is first used. */
  private getOrCreateSpeed(profile: EndpointProfile): EndpointSpeed {
    const known = this.speeds.get(profile.incarnation);
    if (known !== undefined) {
      return known;
    }
    const created: EndpointSpeed = {
      ...this.toQuery(profile),
      ownEstimator: new SpeedEstimator(),
      ratio: 1,
      reportedClass: 'usual',
    };
    this.speeds.set(profile.incarnation, created);
    return created;
  }

  /** Returns the query for the estimate of an endpoint by its groups alone. */
  private toQuery(profile: EndpointProfile): SpeedQuery {
    return { service: profile.service, groups: listGroups(profile) };
  }

  /** Returns the ratio relative to the service's baseline by the prior of the groups and, if given, the endpoint's own samples. */
  private computeEstimate({ service, groups, ownEstimator }: SpeedQuery): SpeedEstimate {
    const serviceGroups = this.getServiceGroups(service);
    const prior = serviceGroups.choosePrior(groups);
    const { mean, variance } = ownEstimator?.computePosterior(prior) ?? prior;
    return { ratio: Math.exp(mean - serviceGroups.getBaselineLogRatio()), spread: Math.sqrt(variance) };
  }

  /** Returns the significant ratio by own samples and groups; by groups alone until `MIN_STABLE_STEPS` since the latest change of speed. */
  private computeStableRatio({ service, groups, ownEstimator }: EndpointSpeed): number {
    const isStable = ownEstimator.countStableSteps() >= MIN_STABLE_STEPS;
    return this.computeSignificantRatio(isStable ? { service, groups, ownEstimator } : { service, groups });
  }

  /** Returns the estimated ratio, rounded; 1 if it is not significant or the service has no baseline. */
  private computeSignificantRatio(query: SpeedQuery): number {
    const { ratio, spread } = this.computeEstimate(query);
    const logRatio = Math.log(ratio);
    const hasBaseline = this.getServiceGroups(query.service).hasBaseline();
    const isSignificant =
      hasBaseline && Math.abs(logRatio) - SIGNIFICANT_DEVIATIONS * spread > MIN_LOG_DIFFERENCE;
    return isSignificant ? Math.exp(LOG_RATIO_STEP * Math.round(logRatio / LOG_RATIO_STEP)) : 1;
  }

  /** Returns the speed class for a significant ratio. */
  private toSpeedClass(ratio: number): SpeedClass {
    return ratio === 1 ? 'usual' : ratio > 1 ? 'slow' : 'fast';
  }
}
