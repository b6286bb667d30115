import { addToList } from '../../common/addToList';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { EndpointProfile } from '../endpoints/EndpointProfile';
import type { SpeedClass } from './SpeedClass';
import type { SpeedEstimate } from './SpeedEstimate';
import { SpeedGroups } from './SpeedGroups';
import { SpeedEstimator } from './SpeedEstimator';

type SpeedSample = Parameters<SpeedEstimator['addSample']>[0];

interface EndpointSpeed {
  readonly ownEstimator: SpeedEstimator;
  readonly service: ServiceName;
  readonly groups: readonly string[];
  /** The significant ratio, cached since it is read for each endpoint of each step that is placed. */
  ratio: number;
  /** The class last returned by `takeChanges`. */
  reportedClass: SpeedClass;
}

/** An endpoint whose class has changed. */
interface ClassChange {
  readonly endpoint: EndpointIncarnation;
  readonly speedClass: SpeedClass;
  readonly estimate: SpeedEstimate;
  readonly sampleCount: number;
  /** Monotonic time of the latest sample. */
  readonly lastSampleAt: number;
}

/** Minimum number of steps since the latest change of speed for an endpoint's own samples to count. */
const MIN_STABLE_STEPS = 2;
/** A ratio is significant when it differs from 1 by more than `MIN_DIFFERENCE` plus this many standard deviations. */
const SIGNIFICANT_DEVIATIONS = 2.5;
/** Natural logarithm of a ratio. */
const MIN_LOG_DIFFERENCE = Math.log(1.1);
/** Significant ratios are rounded to powers of 1.1, so that similar endpoints compare equal. */
const LOG_RATIO_STEP = Math.log(1.1);

/** What the estimate of an endpoint's speed depends on; without own estimator it is that of its group. */
type SpeedQuery = Pick<EndpointSpeed, 'service' | 'groups'> & { readonly ownEstimator?: SpeedEstimator };

const listGroups = ({ labels, hall }: EndpointProfile): readonly string[] => [...labels, `hall ${hall}`];

/**
 * Estimates the speed of each endpoint by how long runs take there, as a ratio to their baseline time. Endpoints with few runs are
 * estimated by their label or hall. The baseline of a service is its median endpoint.
 */
export class EndpointSpeeds {
  private readonly speeds = new Map<EndpointIncarnation, EndpointSpeed>();
  private readonly groupsByService = new Map<ServiceName, SpeedGroups>();

  /** Records how long a run took on an endpoint. */
  recordRun(profile: EndpointProfile, sample: SpeedSample, now: number): void {
    const speed = this.getOrCreateSpeed(profile);
    speed.ownEstimator.addSample(sample, this.getServiceGroups(speed.service).choosePrior(speed.groups), now);
    speed.ratio = this.computeStableRatio(speed);
  }

  /**
   * Records how long a gang took. A gang runs at the speed of its slowest member, so the sample counts for the member estimated to be
   * slowest, and for those estimated to be slower than the gang was. It says nothing about faster ones.
   */
  recordGang(members: readonly EndpointProfile[], sample: SpeedSample, now: number): void {
    const logRatios = members.map((member) => Math.log(this.getEstimate(member).ratio));
    const slowest = Math.max(...logRatios);
    const limiting = members.filter(
      (_, index) => logRatios[index] === slowest || logRatios[index]! > sample.logRatio,
    );
    const byIncarnation = new Map(limiting.map((member) => [member.incarnation, member]));
    // Any one of the slowest members may have slowed the gang down, so each gets a part of the evidence.
    const variance = sample.variance * (sample.logRatio > slowest ? byIncarnation.size : 1);
    byIncarnation.forEach((member) => this.recordRun(member, { ...sample, variance }, now));
  }

  /** Returns the estimate for an endpoint, by its own runs and its groups. */
  getEstimate(profile: EndpointProfile): SpeedEstimate {
    return this.computeEstimate(this.speeds.get(profile.incarnation) ?? this.toQuery(profile));
  }

  /** Returns the estimate for an incarnation whose profile may be gone; that of its whole service if it has no samples. */
  getIncarnationEstimate(incarnation: EndpointIncarnation, service: ServiceName): SpeedEstimate {
    return this.computeEstimate(this.speeds.get(incarnation) ?? { service, groups: [] });
  }

  /** Returns the ratio of an endpoint's run times to the baseline, rounded to a power of 1.1; 1 unless it is significant. */
  getSignificantRatio(profile: EndpointProfile): number {
    return this.speeds.get(profile.incarnation)?.ratio ?? this.computeSignificantRatio(this.toQuery(profile));
  }

  /** Decays samples, forgets absent incarnations, and updates the groups and baselines. */
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

  /** Returns the number of endpoints of each class. */
  countByClass(): Readonly<Record<SpeedClass, number>> {
    const counts = { slow: 0, usual: 0, fast: 0 };
    for (const { ratio } of this.speeds.values()) {
      counts[this.toSpeedClass(ratio)] += 1;
    }
    return counts;
  }

  /** Returns at most `limit` endpoints whose class has changed since it was last returned. */
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

  private getServiceGroups(service: ServiceName): SpeedGroups {
    const groups = this.groupsByService.get(service) ?? new SpeedGroups();
    this.groupsByService.set(service, groups);
    return groups;
  }

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

  private toQuery(profile: EndpointProfile): SpeedQuery {
    return { service: profile.service, groups: listGroups(profile) };
  }

  private computeEstimate({ service, groups, ownEstimator }: SpeedQuery): SpeedEstimate {
    const serviceGroups = this.getServiceGroups(service);
    const prior = serviceGroups.choosePrior(groups);
    const { mean, variance } = ownEstimator?.computePosterior(prior) ?? prior;
    return { ratio: Math.exp(mean - serviceGroups.getBaselineLogRatio()), spread: Math.sqrt(variance) };
  }

  private computeStableRatio({ service, groups, ownEstimator }: EndpointSpeed): number {
    const isStable = ownEstimator.countStableSteps() >= MIN_STABLE_STEPS;
    return this.computeSignificantRatio(isStable ? { service, groups, ownEstimator } : { service, groups });
  }

  private computeSignificantRatio(query: SpeedQuery): number {
    const { ratio, spread } = this.computeEstimate(query);
    const logRatio = Math.log(ratio);
    const hasBaseline = this.getServiceGroups(query.service).hasBaseline();
    const isSignificant =
      hasBaseline && Math.abs(logRatio) - SIGNIFICANT_DEVIATIONS * spread > MIN_LOG_DIFFERENCE;
    return isSignificant ? Math.exp(LOG_RATIO_STEP * Math.round(logRatio / LOG_RATIO_STEP)) : 1;
  }

  private toSpeedClass(ratio: number): SpeedClass {
    return ratio === 1 ? 'usual' : ratio > 1 ? 'slow' : 'fast';
  }
}
