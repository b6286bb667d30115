import type { JobId } from '../jobs/JobId';
import type { JobQueue } from '../jobs/JobQueue';
import type { JobState } from '../jobs/JobState';
import type { JobOutcome } from './JobOutcome';
import type { JobSubmission } from './JobSubmission';

/** What callers can ask about jobs. Deadlines are monotonic milliseconds. */
export interface JobService {
  writeJob(
    id: JobId,
    queue: JobQueue,
    submission: JobSubmission,
    deadline: number,
  ): Promise<JobOutcome<'accepted'>>;
  readJob(id: JobId, deadline: number): Promise<JobOutcome<JobState | 'absent'>>;
  writeCancel(id: JobId, deadline: number): Promise<JobOutcome<'cancelled' | 'absent'>>;
  /** Accepted jobs of a queue none of whose tasks has begun; unavailable while not all jobs are known here. */
  readPendingCount(queueName: string): JobOutcome<number>;
}
