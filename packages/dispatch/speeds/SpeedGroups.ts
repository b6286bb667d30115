import { addToList } from '../../common/addToList';
import { computeSpread } from '../../common/computeSpread';
import { computeQuantile } from '../../common/computeQuantile';
import { sortAscending } from '../../common/sortAscending';
import type { SpeedPrior } from './SpeedPrior';

interface GroupMember {
  /** Labels and hall of an endpoint. */
  readonly groups: readonly string[];
  /** Mean and variance of the logarithmic ratio, by its own samples. */
  readonly mean: number;
  readonly variance: number;
}

/** Prior while no baseline is known: for two thirds of the endpoints, run times are within a factor of 1.4. */
const DEFAULT_PRIOR: SpeedPrior = { mean: 0, variance: 0.35 ** 2 };
/** Minimum number of members for a group to have a prior of its own. */
const MIN_GROUP_MEMBERS = 8;
/** Minimum number of members for a baseline. */
const MIN_BASELINE_MEMBERS = 4;
/** Lower bound on the variance between the members of a group. */
const MIN_VARIANCE = 0.06 ** 2;
/** Standard errors by which the median of a distinct group differs from the baseline; high since many groups are compared. */
const MIN_DISTINCT_ERRORS = 4;

/** Returns the part of the variance between members that is due to chance in their samples. */
const computeNoise = (members: readonly GroupMember[]): number =>
  members.reduce((sum, { variance }) => sum + variance, 0) / members.length;

const computePrior = (members: readonly GroupMember[]): SpeedPrior => {
  const means = sortAscending(members.map(({ mean }) => mean));
  const spread = computeSpread(means);
  return {
    mean: computeQuantile(means, 0.5) ?? 0,
    variance: Math.max(MIN_VARIANCE, spread ** 2 - computeNoise(members)),
  };
};

/** Priors for the speed of endpoints of one service, by their labels and hall. */
export class SpeedGroups {
  private overallPrior: SpeedPrior = DEFAULT_PRIOR;
  /** Priors of the groups that differ significantly from the baseline. */
  private distinctPriors: ReadonlyMap<string, SpeedPrior> = new Map();
  private isBaselineKnown = false;

  /** Computes the priors anew from the members, which are those of `endpointCount` endpoints that have enough samples. */
  updatePriors(members: readonly GroupMember[], endpointCount: number): void {
    this.isBaselineKnown = members.length >= Math.max(MIN_BASELINE_MEMBERS, endpointCount / 2);
    this.overallPrior = this.isBaselineKnown ? computePrior(members) : DEFAULT_PRIOR;
    const distinct = new Map<string, SpeedPrior>();
    for (const [group, groupMembers] of this.listByGroup(members)) {
      if (groupMembers.length >= MIN_GROUP_MEMBERS) {
        const prior = computePrior(groupMembers);
        const error = Math.sqrt((prior.variance + computeNoise(groupMembers)) / groupMembers.length);
        if (Math.abs(prior.mean - this.overallPrior.mean) > MIN_DISTINCT_ERRORS * error) {
          distinct.set(group, prior);
        }
      }
    }
    this.distinctPriors = distinct;
  }

  /** Returns whether enough endpoints have samples for a baseline. */
  hasBaseline(): boolean {
    return this.isBaselineKnown;
  }

  /** Returns the prior of the most uniform distinct group of an endpoint; the overall prior if none is more uniform. */
  choosePrior(groups: readonly string[]): SpeedPrior {
    let best = this.overallPrior;
    if (this.distinctPriors.size === 0) {
      return best;
    }
    for (const group of groups) {
      const prior = this.distinctPriors.get(group);
      if (prior !== undefined && prior.variance < best.variance) {
        best = prior;
      }
    }
    return best;
  }

  /** Returns the logarithmic ratio of the median endpoint. */
  getBaselineLogRatio(): number {
    return this.overallPrior.mean;
  }

  private listByGroup(members: readonly GroupMember[]): ReadonlyMap<string, readonly GroupMember[]> {
    const byGroup = new Map<string, GroupMember[]>();
    for (const member of members) {
      for (const group of member.groups) {
        addToList(byGroup, group, member);
      }
    }
    return byGroup;
  }
}
