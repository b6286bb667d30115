import type { RunOutcome } from '../../jobs/RunOutcome';
import type { EndedTaskStatus } from '../endpoints/EndedTaskStatus';
import type { RunEndEvidence } from './RunEndEvidence';

/** The end of a run as the leader records it. */
export interface RunEnd {
  readonly outcome: RunOutcome;
  readonly evidence: RunEndEvidence;
  /** How the run ended by the endpoint's report; undefined if the endpoint reported no end. */
  readonly reportedEnd?: EndedTaskStatus['how'];
  /** Checkpoint that the endpoint reported with the end; if empty, that of the `PlacedRun` applies. */
  readonly checkpoint: string;
}
