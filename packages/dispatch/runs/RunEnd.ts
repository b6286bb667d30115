import type { RunOutcome } from '../../jobs/RunOutcome';
import type { EndedTaskStatus } from '../endpoints/EndedTaskStatus';
import type { RunEndEvidence } from './RunEndEvidence';

/** The end of a run as the leader records it. */
export interface RunEnd {
  readonly outcome: RunOutcome;
  readonly evidence: RunEndEvidence;
  /** Kind of end that the endpoint reported; undefined when it reported none. */
  readonly reportedEnd?: EndedTaskStatus['how'];
  /** Checkpoint that the run left; empty when none newer than that of the `PlacedRun` is known. */
  readonly checkpoint: string;
}
