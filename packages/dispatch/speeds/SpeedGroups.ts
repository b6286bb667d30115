import { addToList } from '../../common/addToList';
import { computeSpread } from '../../common/computeSpread';
import { computeQuantile } from '../../common/computeQuantile';
import { sortAscending } from '../../common/sortAscending';
import type { SpeedPrior } from './SpeedPrior';

/** An endpoint with enough samples for its own estimate. */
interface GroupMember {
  /** Labels and hall of the endpoint. */
  readonly groups: readonly string[];
  /** Mean of the natural logarithm of the endpoint's run time ratio, by its own samples. */
  readonly mean: number;
  /** Variance of that logarithm. */
  readonly variance: number;
}

/** Prior while no baseline is known: for two thirds of the endpoints, run times are within a factor of 1.4. */
const DEFAULT_PRIOR: SpeedPrior = { mean: 0, variance: 0.35 ** 2 };
/** Minimum number of members for a label or hall to have a prior of its own. */
const MIN_GROUP_MEMBERS = 8;
/** Minimum number of members for a service to have a baseline. */
const MIN_BASELINE_MEMBERS = 4;
/** Lower bound on the estimated variance between the members of a group. */
const MIN_GROUP_VARIANCE = 0.06 ** 2;
/** Minimum difference of a distinct group's median from the baseline, in standard errors; high since many groups are compared. */
const MIN_DISTINCT_ERRORS = 4;

/** Returns the mean variance of the members' own estimates, by which the variance between them is overestimated. */
const computeSamplingVariance = (members: readonly GroupMember[]): number =>
  members.reduce((sum, { variance }) => sum + variance, 0) / members.length;

/** Returns the median of the members, and the variance between them without the sampling variance, at least `MIN_GROUP_VARIANCE`. */
const computePrior = (members: readonly GroupMember[]): SpeedPrior => {
  const means = sortAscending(members.map(({ mean }) => mean));
  const spread = computeSpread(means);
  return {
    mean: computeQuantile(means, 0.5) ?? 0,
    variance: Math.max(MIN_GROUP_VARIANCE, spread ** 2 - computeSamplingVariance(members)),
  };
};

/** Priors for the speed of endpoints of one service, by their labels and hall. */
export class SpeedGroups {
  /** Prior of all endpoints of the service. */
  private overallPrior: SpeedPrior = DEFAULT_PRIOR;
  /** Priors of the labels and halls that differ significantly from the baseline. */
  private distinctPriors: ReadonlyMap<string, SpeedPrior> = new Map();
  /** Whether enough endpoints have samples for a baseline. */
  private isBaselineKnown = false;

  /**
   * Computes the overall prior and those of distinct groups anew from the members. The overall prior is the default one unless there are
   * `MIN_BASELINE_MEMBERS` and at least half of the `endpointCount` endpoints of the service that have samples are members.
   */
  updatePriors(members: readonly GroupMember[], endpointCount: number): void {
    this.isBaselineKnown = members.length >= Math.max(MIN_BASELINE_MEMBERS, endpointCount / 2);
    this.overallPrior = this.isBaselineKnown ? computePrior(members) : DEFAULT_PRIOR;
    const distinct = new Map<string, SpeedPrior>();
    for (const [group, groupMembers] of this.listByGroup(members)) {
      if (groupMembers.length >= MIN_GROUP_MEMBERS) {
        const prior = computePrior(groupMembers);
        const error = Math.sqrt(
          (prior.variance + computeSamplingVariance(groupMembers)) / groupMembers.length,
        );
        if (Math.abs(prior.mean - this.overallPrior.mean) > MIN_DISTINCT_ERRORS * error) {
          distinct.set(group, prior);
        }
      }
    }
    this.distinctPriors = distinct;
  }

  /** Returns whether enough endpoints had samples for a baseline at the latest update. */
  hasBaseline(): boolean {
    return this.isBaselineKnown;
  }

  /** Returns the prior with the lowest variance among the overall one and those of the distinct groups named. */
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

  /** Returns the natural logarithm of the median endpoint's ratio, to which estimates are relative; 0 without a baseline. */
  getBaselineLogRatio(): number {
    return this.overallPrior.mean;
  }

  /** Returns the members of each label and hall. */
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
