import type { CustomerPolicy } from '../customers/CustomerPolicy';
import type { JobCaller } from '../customers/JobCaller';
import type { JobId } from '../jobs/JobId';
import type { JobQueue } from '../jobs/JobQueue';
import type { JobState } from '../jobs/JobState';
import type { JobOutcome } from './JobOutcome';
import type { JobSubmission } from './JobSubmission';
import type { SubmitAnswer } from './SubmitAnswer';

/** What callers can ask about jobs. Deadlines are monotonic milliseconds. */
export interface JobService {
  writeJob(
    id: JobId,
    queue: JobQueue,
    customer: CustomerPolicy | undefined,
    submission: JobSubmission,
    deadline: number,
  ): Promise<JobOutcome<SubmitAnswer>>;
  /** A job of another customer is as absent as one that nobody has handed in. */
  readJob(id: JobId, caller: JobCaller, deadline: number): Promise<JobOutcome<JobState | 'absent'>>;
  writeCancel(id: JobId, caller: JobCaller, deadline: number): Promise<JobOutcome<'cancelled' | 'absent'>>;
  /** Accepted jobs of a queue none of whose tasks has begun; unavailable while not all jobs are known here. */
  readPendingCount(queueName: string): JobOutcome<number>;
}
