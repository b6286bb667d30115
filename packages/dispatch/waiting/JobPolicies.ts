import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { JobQueue } from '../../jobs/JobQueue';
import { isSameQueue } from '../../jobs/isSameQueue';
import type { EndpointState } from '../endpoints/EndpointState';
import type { CapacityView } from '../placing/CapacityView';
import type { EndpointReservations } from '../placing/EndpointReservations';
import type { RunTracker } from '../runs/RunTracker';
import type { LiveJob } from './LiveJob';
import { QueuePolicies } from './QueuePolicies';

interface JobPoliciesOptions {
  readonly jobs: ReadonlyMap<JobId, LiveJob>;
  readonly endpoints: ReadonlyMap<EndpointIncarnation, EndpointState>;
  readonly capacityView: CapacityView;
  readonly reservations: EndpointReservations;
  readonly tracker: RunTracker;
}

/** Change of a queue's policy, with the number of jobs that follow it. */
interface PolicyChange {
  readonly before: JobQueue;
  readonly after: JobQueue;
  jobCount: number;
}

/** Keeps the policy that each job follows, and what depends on it, up to date with the configuration. */
export class JobPolicies {
  private readonly queuePolicies = new QueuePolicies();

  constructor(private readonly options: JobPoliciesOptions) {}

  /** Sets the policy of a new job to the current one of its queue. */
  applyCurrentPolicy(job: LiveJob): void {
    job.setQueue(this.queuePolicies.choosePolicy(job.definition, job.getQueue()));
    this.options.capacityView.recordQueue(job.getQueue());
  }

  /**
   * Applies the policies of the queues in a version of the configuration to all jobs. Runs stay where they are; what starts from now on follows the new
   * policy. Fails jobs that have used up the attempts that are allowed now. Returns false, without a change, for a version that is not newer.
   */
  applyVersion(version: number, queues: readonly JobQueue[], wallMs: number): boolean {
    if (!this.queuePolicies.applyVersion({ version, queues })) {
      return false;
    }
    const changes = new Map<string, PolicyChange>();
    for (const job of this.options.jobs.values()) {
      const before = job.getQueue();
      const after = this.queuePolicies.choosePolicy(job.definition, before);
      if (!isSameQueue(before, after)) {
        const change = changes.get(after.name) ?? { before, after, jobCount: 0 };
        change.jobCount += 1;
        changes.set(after.name, change);
        job.setQueue(after);
        this.options.reservations.releaseJobReservations(job.definition.id);
        this.applyAttemptsLimit(job.definition.id, wallMs);
      }
    }
    this.options.capacityView.updateQueues((queue) => this.queuePolicies.getPolicy(queue));
    this.updateRunPriorities();
    changes.forEach((change) => this.logChange(version, change));
    return true;
  }

  /** Fails a job of which a waiting task has used up its attempts. Does nothing if the job is unknown or has ended. */
  applyAttemptsLimit(id: JobId, wallMs: number): void {
    const job = this.options.jobs.get(id);
    if (job !== undefined && !job.progress.isEnded() && job.hasExhaustedTask()) {
      this.options.tracker.recordJobEnd(job, 'failed', wallMs);
    }
  }

  /** Sets the priority of each run to that of its job's queue. */
  private updateRunPriorities(): void {
    const { jobs, endpoints } = this.options;
    for (const endpoint of endpoints.values()) {
      for (const run of endpoint.getRuns()) {
        run.priority = jobs.get(run.job)?.getQueue().priority ?? run.priority;
      }
    }
  }

  private logChange(version: number, { before, after, jobCount }: PolicyChange): void {
    this.options.tracker.sendLogLine('Jobs follow a new policy.', {
      queue: after.name,
      version,
      jobs: jobCount,
      service: after.service,
      previousService: before.service,
      priority: after.priority,
      attempts: after.attempts,
      isAdvised: after.advice !== undefined,
    });
  }
}
