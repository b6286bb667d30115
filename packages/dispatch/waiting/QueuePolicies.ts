import type { JobDefinition } from '../../jobs/JobDefinition';
import type { JobQueue } from '../../jobs/JobQueue';

/** The policies of all queues in one version of the configuration. */
interface VersionedQueues {
  readonly version: number;
  readonly queues: readonly JobQueue[];
}

/** Policies of the queues in the newest version of the configuration that this process has applied. */
export class QueuePolicies {
  /** -Infinity before the first version. */
  private version = -Infinity;
  private queuesByName: ReadonlyMap<string, JobQueue> = new Map();

  /** Replaces the policies. Returns false, without a change, for a version that is not newer. */
  applyVersion({ version, queues }: VersionedQueues): boolean {
    if (version <= this.version) {
      return false;
    }
    this.version = version;
    this.queuesByName = new Map(queues.map((queue) => [queue.name, queue]));
    return true;
  }

  /**
   * Returns the policy that a job follows, which has followed `current` so far: that of its queue in this version. Stays with `current` when the job
   * was accepted by a later version, or when this version does not have its queue.
   */
  choosePolicy({ queueVersion = -Infinity }: JobDefinition, current: JobQueue): JobQueue {
    return queueVersion > this.version ? current : this.getPolicy(current);
  }

  /** Returns the policy of a queue in this version; `current` when this version does not have it. */
  getPolicy(current: JobQueue): JobQueue {
    return this.queuesByName.get(current.name) ?? current;
  }
}
