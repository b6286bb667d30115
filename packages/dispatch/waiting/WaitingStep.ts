import type { JobStep } from '../../jobs/JobStep';
import type { LiveJob } from './LiveJob';

/** A step with tasks that may start now. */
export interface WaitingStep {
  readonly job: LiveJob;
  readonly repetition: number;
  readonly step: number;
  readonly shape: JobStep;
  /** Indexes of the waiting tasks. */
  readonly indexes: readonly number[];
  /** Wall clock time by which the step's repetition should be complete. */
  readonly objectiveAtMs: number;
}
