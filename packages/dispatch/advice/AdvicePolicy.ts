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

/** Decides when to send advice requests, and which of them are long. */
export interface AdvicePolicy {
  /** Maximum number of endpoints in one request. */
  readonly maxCandidates: number;
  /** Returns for how long requests for a step are deferred, in milliseconds, when one would not have been useful. */
  readonly computeDeferralMs: (advice: NonNullable<JobQueue['advice']>) => number;
  /** Returns whether requests of the queue are long. Long ones do not use the channels that are reserved for short ones. */
  readonly isLong: (advice: NonNullable<JobQueue['advice']>, isMostUrgent: boolean) => boolean;
  readonly createSelector: (dependencies: SelectorDependencies) => CandidateSelector;
}
