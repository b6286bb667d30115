import type { OwnershipRules } from '../../packages/ownership/OwnershipRules';
import { standardRules } from '../../packages/ownership/standardRules';

/** Rules made wrong on purpose, by name: the exploration must break each of them. */
export const mutations: Readonly<Record<string, Partial<OwnershipRules>>> = {
  evidenceNeverExpires: {
    hasEvidence: (state, _now, timings) => standardRules.hasEvidence(state, -Infinity, timings),
  },
  takeoverWithoutWait: { hasWaitedOut: () => true },
  takeoverWithoutStatements: { isStatementCurrent: () => true },
  statementOfOlderView: { isStatementCurrent: (peer) => peer.viewNumber > 0 },
  joinerExpels: { isJoinerExpelling: true },
  expelWithoutAcknowledgement: {
    isExpellable: (state, peer, now, timings) =>
      state.memberSince > 0 && now >= peer.promiseGivenUntil && now >= peer.heardAt + timings.suspectMs,
  },
  expelDespitePromise: {
    isExpellable: (state, peer) => state.memberSince > 0 && peer.acknowledged >= state.memberSince,
  },
  promiseDespiteProposal: { isPromiseGrantable: (state) => !state.isStopped },
  waiveDeadPromise: { isWaivable: () => true },
};
