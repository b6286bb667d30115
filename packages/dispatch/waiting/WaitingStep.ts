import type { JobStep } from '../../jobs/JobStep';
import type { LiveJob } from './LiveJob';

/** A step, in one repetition of its job, with tasks that wait for placement: its repetition is due and the steps it depends on are done. */
export interface WaitingStep {
  readonly job: LiveJob;
  /** Index of the repetition of the job, from 0. */
  readonly repetition: number;
  /** Index of the step in the job definition. */
  readonly step: number;
  readonly shape: JobStep;
  /** Indexes of the waiting tasks within the step, the first ones of a large step; all of them for a gang. */
  readonly indexes: readonly number[];
  /** Wall clock time by which the repetition should be complete. */
  readonly objectiveAtMs: number;
}
