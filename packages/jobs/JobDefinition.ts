import type { JobCustomer } from '../customers/JobCustomer';
import type { JobId } from './JobId';
import type { JobQueue } from './JobQueue';
import type { JobStep } from './JobStep';

/** What a caller submitted, with the queue's policy at that time. Never changes once accepted. */
export interface JobDefinition {
  readonly id: JobId;
  readonly queue: JobQueue;
  /** Undefined for jobs that nobody's key came with. */
  readonly customer?: JobCustomer;
  /** Opaque text that is handed to each task. */
  readonly spec: string;
  readonly steps: readonly JobStep[];
  /** How often the steps run; 1 for jobs without times. */
  readonly times: number;
  /** Due time of the first run in milliseconds since 1970; 0 for jobs without times. */
  readonly firstRunMs: number;
  readonly intervalMs: number;
  /** Wall clock of the accepting box, for order among jobs and for logs. */
  readonly acceptedAtMs: number;
}
