import { AdviceCandidates } from './AdviceCandidates';
import { PlannedCandidates } from './PlannedCandidates';
import type { AdvicePolicyName } from './AdvicePolicyName';
import type { AdvicePolicy } from './AdvicePolicy';

/** Endpoints named in one question; so many are counted in a job's objective. */
const COUNTED_NAMED = 30;
/** Most endpoints that the service takes in one call. */
const LARGEST_CALL = 100;
/** Questions longer than this are long ones. */
const LONG_QUESTION_MS = 150;
/** Rounds follow each message; the room that a question needs does not come with every one of them. */
const LEAST_IDLE_MS = 20;
/** Part of a question's time that it may begin later, so that rounds stay short while many steps wait. */
const IDLE_SHARE = 0.1;

/** Ways of taking turns, by choice. */
export const advicePolicies: Readonly<Record<AdvicePolicyName, AdvicePolicy>> = {
  asked: {
    maxNamed: COUNTED_NAMED,
    readIdleMs: () => 0,
    isLong: (advice) => advice.decisionMs + advice.perEndpointMs * COUNTED_NAMED > LONG_QUESTION_MS,
    createSelector: ({ room, preemptor, history, preference }) =>
      new AdviceCandidates(room, preemptor, history, preference),
  },
  planned: {
    maxNamed: LARGEST_CALL,
    readIdleMs: ({ decisionMs }) => Math.max(LEAST_IDLE_MS, decisionMs * IDLE_SHARE),
    isLong: (advice, isMostUrgent) =>
      !isMostUrgent || advice.decisionMs + advice.perEndpointMs * COUNTED_NAMED > LONG_QUESTION_MS,
    createSelector: (parts) => new PlannedCandidates(parts),
  },
};
