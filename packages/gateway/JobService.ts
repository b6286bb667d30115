import type { CustomerPolicy } from '../customers/CustomerPolicy';
import type { JobCaller } from '../customers/JobCaller';
import type { JobId } from '../jobs/JobId';
import type { JobQueue } from '../jobs/JobQueue';
import type { JobState } from '../jobs/JobState';
import type { JobServiceResult } from './JobServiceResult';
import type { JobSubmission } from './JobSubmission';
import type { SubmitResult } from './SubmitResult';

/** Operations on jobs that callers can request. Deadlines are monotonic times in milliseconds. */
export interface JobService {
  /** Submits a job; idempotent for the same id, queue and customer. */
  createJob(
    id: JobId,
    queue: JobQueue,
    customer: CustomerPolicy | undefined,
    submission: JobSubmission,
    deadline: number,
  ): Promise<JobServiceResult<SubmitResult>>;
  /** Returns the state of a job; `absent` if it does not exist or belongs to another customer. */
  getJobState(id: JobId, caller: JobCaller, deadline: number): Promise<JobServiceResult<JobState | 'absent'>>;
  /** Cancels a job; `absent` if it does not exist or belongs to another customer. */
  cancelJob(
    id: JobId,
    caller: JobCaller,
    deadline: number,
  ): Promise<JobServiceResult<'cancelled' | 'absent'>>;
  /**
   * Returns the number of accepted jobs of a queue that have neither started a task nor been cancelled; unavailable until this box has read
   * all jobs.
   */
  countPendingJobs(queueName: string): JobServiceResult<number>;
}
