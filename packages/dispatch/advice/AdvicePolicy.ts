import type { AdviceStats } from './AdviceStats';
import type { CandidateSelector } from './CandidateSelector';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { JobQueue } from '../../jobs/JobQueue';
import type { Preemptor } from '../placing/Preemptor';
import type { CapacityView } from '../placing/CapacityView';

interface SelectorDependencies {
  readonly capacityView: CapacityView;
  readonly preemptor: Preemptor;
  readonly stats: AdviceStats;
  readonly preference: EndpointPreference;
}

/** Rules by which advice requests are sent. */
export interface AdvicePolicy {
  /** Maximum number of endpoints in one request. */
  readonly maxCandidates: number;
  /** Returns how long no request is considered for a step after a round in which one would not have been useful, in milliseconds. */
  readonly computeDeferralMs: (advice: NonNullable<JobQueue['advice']>) => number;
  /**
   * Returns whether requests of a queue count as long, by its advice times and by whether the queue is the most urgent one. Long ones do
   * not use the channels that are reserved for short ones.
   */
  readonly isLongRequest: (advice: NonNullable<JobQueue['advice']>, isMostUrgent: boolean) => boolean;
  /** Creates the selector of the endpoints that requests ask about. */
  readonly createSelector: (dependencies: SelectorDependencies) => CandidateSelector;
}
