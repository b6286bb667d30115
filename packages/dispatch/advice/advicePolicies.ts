import { EagerCandidateSelector } from './EagerCandidateSelector';
import { PlannedCandidateSelector } from './PlannedCandidateSelector';
import type { AdvicePolicyName } from './AdvicePolicyName';
import type { AdvicePolicy } from './AdvicePolicy';

/** Maximum number of candidates under the `asked` policy, for which both policies compute whether a request is long. */
const BUDGETED_CANDIDATES = 30;
/** Maximum number of endpoints that the service accepts in one request. */
const MAX_CANDIDATES = 100;
/** Maximum expected response time of short requests, computed for `BUDGETED_CANDIDATES` candidates. */
const MAX_SHORT_REQUEST_MS = 150;
/** Lower bound on a deferral, which spans several rounds. */
const MIN_DEFERRAL_MS = 20;
/** Deferral as a share of the queue's decision time, so that few steps are considered in each round while many wait. */
const DEFERRAL_DECISION_SHARE = 0.1;

/** Policies for advice requests, by name. */
export const advicePolicies: Readonly<Record<AdvicePolicyName, AdvicePolicy>> = {
  asked: {
    maxCandidates: BUDGETED_CANDIDATES,
    computeDeferralMs: () => 0,
    isLongRequest: (advice) =>
      advice.decisionMs + advice.perEndpointMs * BUDGETED_CANDIDATES > MAX_SHORT_REQUEST_MS,
    createSelector: ({ capacityView, preemptor, stats, preference }) =>
      new EagerCandidateSelector(capacityView, preemptor, stats, preference),
  },
  planned: {
    maxCandidates: MAX_CANDIDATES,
    computeDeferralMs: ({ decisionMs }) => Math.max(MIN_DEFERRAL_MS, decisionMs * DEFERRAL_DECISION_SHARE),
    isLongRequest: (advice, isMostUrgent) =>
      !isMostUrgent || advice.decisionMs + advice.perEndpointMs * BUDGETED_CANDIDATES > MAX_SHORT_REQUEST_MS,
    createSelector: (dependencies) => new PlannedCandidateSelector(dependencies),
  },
};
