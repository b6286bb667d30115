import type { JobCustomer } from '../customers/JobCustomer';
import type { JobId } from './JobId';
import type { JobQueue } from './JobQueue';
import type { JobStep } from './JobStep';

/**
 * A job as submitted, with the policy of its queue at that time. Immutable once accepted. The leader asks `LiveJob.getQueue` for the policy that
 * the job follows now.
 */
export interface JobDefinition {
  readonly id: JobId;
  readonly queue: JobQueue;
  /** Version of the configuration that `queue` is from; undefined in records of earlier versions of this program. */
  readonly queueVersion?: number;
  /** Customer of the API key that the job was submitted with; undefined without a known key. */
  readonly customer?: JobCustomer;
  /** Opaque text that is passed to each task. */
  readonly spec: string;
  readonly steps: readonly JobStep[];
  /** Number of repetitions of the steps; 1 for a job that is not repeated. */
  readonly times: number;
  /** Due time of the first repetition in Unix milliseconds; 0 for a job that is not repeated. */
  readonly firstRunMs: number;
  /** Time between the due times of repetitions, in milliseconds; 0 for a job that is not repeated. */
  readonly intervalMs: number;
  /** Wall clock of the accepting box, at acceptance, in Unix milliseconds. */
  readonly acceptedAtMs: number;
}
