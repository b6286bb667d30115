import type { AdviceStats } from './AdviceStats';
import type { CandidateSelector } from './CandidateSelector';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { JobQueue } from '../../jobs/JobQueue';
import type { Preemptor } from '../placing/Preemptor';
import type { CapacityView } from '../placing/CapacityView';

interface CandidateParts {
  readonly room: CapacityView;
  readonly preemptor: Preemptor;
  readonly history: AdviceStats;
  readonly preference: EndpointPreference;
}

/** One way of taking turns at the advice service. */
export interface AdvicePolicy {
  /** Most endpoints in one question. */
  readonly maxNamed: number;
  /** After no question was worth its turn, it is worked out anew so much later, in milliseconds. */
  readonly readIdleMs: (advice: NonNullable<JobQueue['advice']>) => number;
  /** True for questions that keep off the boxes that are kept for short ones. */
  readonly isLong: (advice: NonNullable<JobQueue['advice']>, isMostUrgent: boolean) => boolean;
  readonly createSelector: (parts: CandidateParts) => CandidateSelector;
}
