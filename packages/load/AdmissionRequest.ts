import type { CustomerName } from '../customers/CustomerName';
import type { JobId } from '../jobs/JobId';
import type { JobQueue } from '../jobs/JobQueue';
import type { JobStep } from '../jobs/JobStep';

/** A job at the door. */
export interface AdmissionRequest {
  readonly id: JobId;
  readonly queue: JobQueue;
  readonly customer: CustomerName | undefined;
  readonly steps: readonly JobStep[];
  /** Milliseconds from now at which its first time is due; 0 for a job without times. */
  readonly dueInMs: number;
  /** Milliseconds for which its caller still waits. */
  readonly leftMs: number;
}
