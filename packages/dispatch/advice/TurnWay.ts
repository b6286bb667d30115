import type { AdviceHistory } from './AdviceHistory';
import type { CandidateChoice } from './CandidateChoice';
import type { EndpointPreference } from '../placing/EndpointPreference';
import type { JobQueue } from '../../jobs/JobQueue';
import type { Preemptor } from '../placing/Preemptor';
import type { RoomView } from '../placing/RoomView';

interface CandidateParts {
  readonly room: RoomView;
  readonly preemptor: Preemptor;
  readonly history: AdviceHistory;
  readonly preference: EndpointPreference;
}

/** One way of taking turns at the advice service. */
export interface TurnWay {
  /** Most endpoints in one question. */
  readonly maxNamed: number;
  /** After no question was worth its turn, it is worked out anew so much later, in milliseconds. */
  readonly readIdleMs: (advice: NonNullable<JobQueue['advice']>) => number;
  /** True for questions that keep off the boxes that are kept for short ones. */
  readonly isLong: (advice: NonNullable<JobQueue['advice']>, isMostUrgent: boolean) => boolean;
  readonly createCandidates: (parts: CandidateParts) => CandidateChoice;
}
