import type { RunOutcome } from '../../jobs/RunOutcome';
import type { EndedTaskStatus } from '../endpoints/EndedTaskStatus';
import type { RunEndCause } from './RunEndCause';

/** How a run ended, as the leader takes it into its books. */
export interface RunEnd {
  readonly outcome: RunOutcome;
  readonly cause: RunEndCause;
  /** The endpoint's own word; undefined where it gave none. */
  readonly reportedEnd?: EndedTaskStatus['how'];
  /** What the run left to go on from; empty where nothing newer is known than its books have. */
  readonly checkpoint: string;
}
