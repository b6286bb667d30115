import { appendTo } from '../../common/appendTo';
import { measureSpread } from '../../common/measureSpread';
import { readQuantile } from '../../common/readQuantile';
import { toSorted } from '../../common/toSorted';
import type { SpeedPrior } from './SpeedPrior';

interface GroupMember {
  /** Labels and hall of an endpoint. */
  readonly groups: readonly string[];
  /** What its own runs tell. */
  readonly mean: number;
  readonly variance: number;
}

/** Of endpoints of which nothing is known: one in three takes up to half as long again, or less. */
const UNKNOWN: SpeedPrior = { mean: 0, variance: 0.35 ** 2 };
/** Fewer endpoints than this do not tell what their group is like. */
const MIN_MEMBERS = 8;
/** Of all, where they are fewer: so many tell what is usual. */
const MIN_ALL = 4;
/** Endpoints of a group are not taken to be more alike than this. */
const MIN_VARIANCE = 0.06 ** 2;
/** A group is unlike the rest when its median is further off than so many standard errors: many groups are compared. */
const UNLIKE_ERRORS = 4;

/** How far chance in the members' own runs moves them. */
const measureNoise = (members: readonly GroupMember[]): number =>
  members.reduce((sum, { variance }) => sum + variance, 0) / members.length;

const toPrior = (members: readonly GroupMember[]): SpeedPrior => {
  const means = toSorted(members.map(({ mean }) => mean));
  const spread = measureSpread(means);
  return {
    mean: readQuantile(means, 0.5) ?? 0,
    variance: Math.max(MIN_VARIANCE, spread ** 2 - measureNoise(members)),
  };
};

/** What the known endpoints tell of others with the same label or in the same hall. */
export class SpeedGroups {
  private all: SpeedPrior = UNKNOWN;
  private unlike: ReadonlyMap<string, SpeedPrior> = new Map();

  private isAllKnown = false;

  /** Works out the groups anew, from those of so many endpoints that have run enough. */
  applyMembers(members: readonly GroupMember[], endpointCount: number): void {
    this.isAllKnown = members.length >= Math.max(MIN_ALL, endpointCount / 2);
    this.all = this.isAllKnown ? toPrior(members) : UNKNOWN;
    const unlike = new Map<string, SpeedPrior>();
    for (const [group, own] of this.toGroups(members)) {
      if (own.length >= MIN_MEMBERS) {
        const prior = toPrior(own);
        const error = Math.sqrt((prior.variance + measureNoise(own)) / own.length);
        if (Math.abs(prior.mean - this.all.mean) > UNLIKE_ERRORS * error) {
          unlike.set(group, prior);
        }
      }
    }
    this.unlike = unlike;
  }

  /** True once enough endpoints are known to say what is usual, and how far chance moves them. */
  isKnown(): boolean {
    return this.isAllKnown;
  }

  /** What to expect of an endpoint: of its groups that are unlike the rest the one whose members are most alike. */
  readPrior(groups: readonly string[]): SpeedPrior {
    let best = this.all;
    if (this.unlike.size === 0) {
      return best;
    }
    for (const group of groups) {
      const prior = this.unlike.get(group);
      if (prior !== undefined && prior.variance < best.variance) {
        best = prior;
      }
    }
    return best;
  }

  /** The median of all known endpoints, which is the usual one. */
  readCentre(): number {
    return this.all.mean;
  }

  private toGroups(members: readonly GroupMember[]): ReadonlyMap<string, readonly GroupMember[]> {
    const byGroup = new Map<string, GroupMember[]>();
    for (const member of members) {
      for (const group of member.groups) {
        appendTo(byGroup, group, member);
      }
    }
    return byGroup;
  }
}
