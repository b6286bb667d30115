import type { RunOutcome } from '../../jobs/RunOutcome';
import type { EndedRow } from '../endpoints/EndedRow';
import type { RunEndCause } from './RunEndCause';

/** How a run ended, as the leader takes it into its books. */
export interface RunEnd {
  readonly outcome: RunOutcome;
  readonly cause: RunEndCause;
  /** What the run left to go on from; empty where nothing newer is known than its books have. */
  readonly checkpoint: string;
  /** How the endpoint said that it ended; undefined when it said nothing of it. */
  readonly how?: EndedRow['how'];
}
