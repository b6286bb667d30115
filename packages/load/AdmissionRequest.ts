import type { CustomerName } from '../customers/CustomerName';
import type { JobId } from '../jobs/JobId';
import type { JobQueue } from '../jobs/JobQueue';
import type { JobStep } from '../jobs/JobStep';

/** A submitted job that is to be admitted or refused. */
export interface AdmissionRequest {
  readonly id: JobId;
  readonly queue: JobQueue;
  readonly customer: CustomerName | undefined;
  readonly steps: readonly JobStep[];
  /** Milliseconds until its first repetition is due; 0 for a job that is not repeated. */
  readonly dueInMs: number;
  /** Milliseconds until the caller stops waiting. */
  readonly callerWaitMs: number;
}
