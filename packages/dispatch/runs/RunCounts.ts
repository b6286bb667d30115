import type { JobId } from '../../jobs/JobId';

/** Number of runs on all endpoints, in all and by job. The endpoint states record each run, so that reading costs the same however many there are. */
export class RunCounts {
  private total = 0;
  private readonly countsByJob = new Map<JobId, number>();

  recordRun(job: JobId): void {
    this.total += 1;
    this.countsByJob.set(job, this.countRunsOfJob(job) + 1);
  }

  recordRunEnd(job: JobId): void {
    this.total -= 1;
    const left = this.countRunsOfJob(job) - 1;
    if (left > 0) {
      this.countsByJob.set(job, left);
    } else {
      this.countsByJob.delete(job);
    }
  }

  countRuns(): number {
    return this.total;
  }

  countRunsOfJob(job: JobId): number {
    return this.countsByJob.get(job) ?? 0;
  }
}
