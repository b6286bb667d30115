import type { Logger } from '../common/Logger';
import type { JobCaller } from '../customers/JobCaller';
import type { LeaderController } from '../dispatch/LeaderController';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import type { JobReplica } from '../jobs/JobReplica';
import type { LogWrite } from '../store/LogWrite';

interface JobRecordsOptions {
  readonly replica: JobReplica;
  readonly logger: Logger;
  /** Returns the leader of this process; undefined while it does not lead. */
  readonly getLeader: () => Pick<LeaderController, 'handleJob' | 'handleCancel'> | undefined;
}

/**
 * Applies the durable records of jobs and of cancellations to the replica, and passes new ones on to the leader. A job's two records may come in either
 * order, more than once, and by different ways: read from the log, written for another box, or accepted by this one.
 */
export class JobRecords {
  constructor(private readonly options: JobRecordsOptions) {}

  /** Applies records of the jobs' topic, and logs those that are malformed. */
  applyRecords(records: readonly LogWrite[]): void {
    const { replica, logger, getLeader } = this.options;
    const { accepted, cancelled, invalid } = replica.foldJobRecords(records);
    invalid.forEach((job) => logger.warn('Malformed job record ignored.', { job }));
    accepted.forEach((definition) => getLeader()?.handleJob(definition));
    cancelled.forEach((id) => getLeader()?.handleCancel(id));
  }

  /** Applies a job that this box has accepted. */
  applyAcceptedJob(definition: JobDefinition): void {
    if (this.options.replica.recordDefinition(definition)) {
      this.options.getLeader()?.handleJob(definition);
    }
  }

  /** Applies a cancellation that this box has accepted. */
  applyCancelledJob(id: JobId): void {
    if (this.options.replica.recordCancel(id)) {
      this.options.getLeader()?.handleCancel(id);
    }
  }

  /** Applies the cancellation of a job that this box does not know, or did not when it accepted the cancellation. */
  applyEarlyCancel(id: JobId, caller: JobCaller): void {
    if (this.options.replica.recordEarlyCancel(id, caller)) {
      this.options.getLeader()?.handleCancel(id);
    }
  }
}
