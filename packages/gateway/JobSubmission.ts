import type { JobStep } from '../jobs/JobStep';

/** Validated job as submitted by a caller. */
export interface JobSubmission {
  /** Opaque text that is passed to each task. */
  readonly spec: string;
  readonly steps: readonly JobStep[];
  /** How often the job's steps run in total; 1 for a job without a schedule. */
  readonly times: number;
  /** Due time of the first repetition in milliseconds since 1970; 0 for a job without a schedule. */
  readonly firstRunMs: number;
  /** Time between the due times of repetitions. */
  readonly intervalMs: number;
}
