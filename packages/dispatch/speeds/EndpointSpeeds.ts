import { appendTo } from '../../common/appendTo';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import type { EndpointProfile } from '../endpoints/EndpointProfile';
import type { SpeedClass } from './SpeedClass';
import type { SpeedEstimate } from './SpeedEstimate';
import { SpeedGroups } from './SpeedGroups';
import { SpeedTrack } from './SpeedTrack';

type Evidence = Parameters<SpeedTrack['recordRun']>[0];

/** One endpoint as it is known. */
interface KnownSpeed {
  readonly track: SpeedTrack;
  readonly service: ServiceName;
  readonly groups: readonly string[];
  /** Worked out when evidence comes in, since it is read for each endpoint of each step that is placed. */
  ratio: number;
  /** The class last told of. */
  told: SpeedClass;
}

/** An endpoint whose class has changed. */
interface ClassChange {
  readonly life: EndpointIncarnation;
  readonly speedClass: SpeedClass;
  readonly estimate: SpeedEstimate;
  readonly samples: number;
  /** When the newest of the samples came in. */
  readonly recordedAt: number;
}

/** Runs of fewer steps than this, since the endpoint last seemed to have changed, tell nothing: long ones may follow each other. */
const MIN_STEPS = 2;
/** An endpoint is unlike a usual one when it is so by `MIN_UNLIKE` beyond so many standard deviations. */
const SURE_DEVIATIONS = 2.5;
const MIN_UNLIKE = Math.log(1.1);
/** Natural logarithm of a tenth: known ratios are rounded to steps of it, so that endpoints of one kind stay like each other. */
const RATIO_STEP = Math.log(1.1);

/** Whose speed is asked for, and what is known of it. */
type Asked = Pick<KnownSpeed, 'service' | 'groups'> & { readonly track?: SpeedTrack };

const toGroups = ({ labels, hall }: EndpointProfile): readonly string[] => [...labels, `hall ${hall}`];

/**
 * Learns how fast each endpoint is, from how long runs take there by their usual time. An endpoint with few runs is taken to be like
 * others of its label or hall; all are compared with the median endpoint of their service.
 */
export class EndpointSpeeds {
  private readonly known = new Map<EndpointIncarnation, KnownSpeed>();
  private readonly groups = new Map<ServiceName, SpeedGroups>();

  /** Takes in the time of one run on an endpoint by its usual time. */
  recordRun(profile: EndpointProfile, evidence: Evidence, now: number): void {
    const speed = this.readOrCreate(profile);
    speed.track.recordRun(evidence, this.readGroups(speed.service).readPrior(speed.groups), now);
    speed.ratio = this.toKnownRatio(speed);
  }

  /**
   * Takes in the time of a gang. It runs at its slowest member: that one is as slow as the gang, and none is slower. A member that is
   * known to be faster is not slowed by it.
   */
  recordGang(members: readonly EndpointProfile[], evidence: Evidence, now: number): void {
    const logRatios = members.map((member) => Math.log(this.getEstimate(member).ratio));
    const slowest = Math.max(...logRatios);
    const bound = members.filter(
      (_, index) => logRatios[index] === slowest || logRatios[index]! > evidence.logRatio,
    );
    const byLife = new Map(bound.map((member) => [member.incarnation, member]));
    // Members that are equally slow share the evidence: any one of them may be what holds the gang up.
    const variance = evidence.variance * (evidence.logRatio > slowest ? byLife.size : 1);
    byLife.forEach((member) => this.recordRun(member, { ...evidence, variance }, now));
  }

  /** What is known of an endpoint, by its own runs and its group. */
  getEstimate(profile: EndpointProfile): SpeedEstimate {
    return this.toEstimate(this.known.get(profile.incarnation) ?? this.toAsked(profile));
  }

  /** What is known of a life that may have run something; else what is expected of any endpoint of its service. */
  readLifeEstimate(life: EndpointIncarnation, service: ServiceName): SpeedEstimate {
    return this.toEstimate(this.known.get(life) ?? { service, groups: [] });
  }

  /** The ratio of an endpoint as far as it certainly differs from a usual one, in steps of a tenth; else 1. */
  getSignificantRatio(profile: EndpointProfile): number {
    return this.known.get(profile.incarnation)?.ratio ?? this.toSureRatio(this.toAsked(profile));
  }

  /** Lets time pass: what is known fades, and groups and the usual endpoint are worked out anew. */
  applyTime(now: number, isPresent: (life: EndpointIncarnation) => boolean): void {
    for (const [life, { track }] of this.known) {
      if (isPresent(life)) {
        track.applyFading(now);
      } else {
        this.known.delete(life);
      }
    }
    this.applyGroups();
    for (const speed of this.known.values()) {
      speed.ratio = this.toKnownRatio(speed);
    }
  }

  /** How many endpoints are known to be of a class. */
  countByClass(): Readonly<Record<SpeedClass, number>> {
    const counts = { slow: 0, usual: 0, fast: 0 };
    for (const { ratio } of this.known.values()) {
      counts[this.toClass(ratio)] += 1;
    }
    return counts;
  }

  /** Gives endpoints whose class has changed since they were last given, at most so many. */
  claimChanges(limit: number): readonly ClassChange[] {
    const changes: ClassChange[] = [];
    for (const [life, speed] of this.known) {
      const speedClass = this.toClass(speed.ratio);
      if (speedClass !== speed.told && changes.length < limit) {
        speed.told = speedClass;
        const estimate = this.toEstimate(speed);
        changes.push({
          life,
          speedClass,
          estimate,
          samples: speed.track.readCount(),
          recordedAt: speed.track.readRecordedAt(),
        });
      }
    }
    return changes;
  }

  private applyGroups(): void {
    const byService = new Map<ServiceName, KnownSpeed[]>();
    for (const speed of this.known.values()) {
      appendTo(byService, speed.service, speed);
    }
    for (const [service, speeds] of byService) {
      const members = speeds.flatMap(({ track, groups }) => {
        const own = track.readSteadyCount() >= MIN_STEPS ? track.readOwn() : undefined;
        return own === undefined ? [] : [{ ...own, groups }];
      });
      this.readGroups(service).applyMembers(members, speeds.length);
    }
  }

  private readGroups(service: ServiceName): SpeedGroups {
    const known = this.groups.get(service) ?? new SpeedGroups();
    this.groups.set(service, known);
    return known;
  }

  private readOrCreate(profile: EndpointProfile): KnownSpeed {
    const known = this.known.get(profile.incarnation);
    if (known !== undefined) {
      return known;
    }
    const created: KnownSpeed = {
      ...this.toAsked(profile),
      track: new SpeedTrack(),
      ratio: 1,
      told: 'usual',
    };
    this.known.set(profile.incarnation, created);
    return created;
  }

  private toAsked(profile: EndpointProfile): Asked {
    return { service: profile.service, groups: toGroups(profile) };
  }

  private toEstimate({ service, groups, track }: Asked): SpeedEstimate {
    const peers = this.readGroups(service);
    const prior = peers.readPrior(groups);
    const { mean, variance } = track?.readBelief(prior) ?? prior;
    return { ratio: Math.exp(mean - peers.readCentre()), spread: Math.sqrt(variance) };
  }

  private toKnownRatio({ service, groups, track }: KnownSpeed): number {
    const isSteady = track.readSteadyCount() >= MIN_STEPS;
    return this.toSureRatio(isSteady ? { service, groups, track } : { service, groups });
  }

  private toSureRatio(asked: Asked): number {
    const { ratio, spread } = this.toEstimate(asked);
    const log = Math.log(ratio);
    const isKnown = this.readGroups(asked.service).isKnown();
    const isSure = isKnown && Math.abs(log) - SURE_DEVIATIONS * spread > MIN_UNLIKE;
    return isSure ? Math.exp(RATIO_STEP * Math.round(log / RATIO_STEP)) : 1;
  }

  private toClass(ratio: number): SpeedClass {
    return ratio === 1 ? 'usual' : ratio > 1 ? 'slow' : 'fast';
  }
}
