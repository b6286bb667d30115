import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';
import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobId } from '../jobs/JobId';
import { chooseAdmission } from '../load/chooseAdmission';
import type { AdmissionMode } from '../load/AdmissionMode';
import type { AdmissionDecision } from '../load/AdmissionDecision';
import { admissionModes } from '../load/admissionModes';
import type { KnownLoad } from '../load/KnownLoad';
import type { LoadView } from '../load/LoadView';
import type { ServeMetrics } from './ServeMetrics';

interface LoadAdmissionOptions {
  readonly mode: AdmissionMode;
  readonly loadView: LoadView;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServeMetrics;
  /** Returns the epoch of the current leader; undefined while none is known. */
  readonly getEpoch: () => number | undefined;
  /** Reads the jobs topic until a monotonic deadline; true if all records written before the call have been applied. */
  readonly waitForJobsRefresh: (deadline: number) => Promise<boolean>;
  /** Returns whether the replica holds the job. */
  readonly isJobKnown: (id: JobId) => boolean;
}

type SubmittedJob = Pick<JobDefinition, 'id' | 'queue' | 'customer' | 'steps' | 'firstRunMs'>;

/**
 * Result of admission control: accept the job, return the result for its existing id, or refuse it. `load` holds fields of the log line.
 */
type AdmissionCheck =
  | { readonly kind: 'taken'; readonly load: Readonly<Record<string, unknown>> }
  | { readonly kind: 'known' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Number of jobs with an unconfirmed write that are remembered, for retries of their callers. The oldest ones are forgotten first. */
const MAX_UNCERTAIN_JOBS = 2000;

const DECISION_COUNTERS = {
  unknown: 'doorUnknown',
  room: 'doorRoom',
  bearable: 'doorBearable',
  hopeless: 'doorHopeless',
} as const satisfies Readonly<Record<AdmissionDecision['kind'], string>>;

/** Admission control by the published load. Never refuses a job that an earlier request may have submitted. */
export class LoadAdmission {
  private readonly uncertainJobs = new Set<JobId>();

  constructor(private readonly options: LoadAdmissionOptions) {}

  /** Records that a job may have been accepted although its write was not confirmed, so that a retry is not refused. */
  recordUncertainJob(id: JobId): void {
    this.uncertainJobs.add(id);
    if (this.uncertainJobs.size > MAX_UNCERTAIN_JOBS) {
      const [oldest] = this.uncertainJobs;
      this.uncertainJobs.delete(oldest!);
    }
  }

  /**
   * Decides by the published load whether to accept a job, and logs a refusal. Modes that do not refuse accept all jobs. Reads the jobs
   * topic before a refusal, until a monotonic deadline: returns `known` if the job turns out to exist, and accepts it if the read fails or
   * an earlier write of it was not confirmed.
   */
  async checkJob(job: SubmittedJob, deadline: number): Promise<AdmissionCheck> {
    const { mode, metrics } = this.options;
    if (!admissionModes[mode].isLoadPublished) {
      return { kind: 'taken', load: {} };
    }
    const load = this.getKnownLoad();
    const decision = this.chooseDecision(load, job, deadline);
    metrics.recordCount(DECISION_COUNTERS[decision.kind]);
    if (decision.kind !== 'hopeless' || !admissionModes[mode].canRefuseJobs) {
      return { kind: 'taken', load: this.createLoadFields(load, decision) };
    }
    if (this.uncertainJobs.has(job.id) || !(await this.options.waitForJobsRefresh(deadline))) {
      metrics.recordCount('doorDoubtful');
      return { kind: 'taken', load: this.createLoadFields(load, decision) };
    }
    if (this.options.isJobKnown(job.id)) {
      return { kind: 'known' };
    }
    this.options.logger.info('Job refused: it could not be useful in time.', {
      job: job.id,
      queue: job.queue.name,
      ...(job.customer === undefined ? {} : { customer: job.customer.name }),
      ...this.createLoadFields(load, decision),
      retryAfterMs: decision.retryAfterMs,
    });
    return { kind: 'refused', retryAfterMs: decision.retryAfterMs };
  }

  private getKnownLoad(): KnownLoad | undefined {
    const { clock, getEpoch, loadView } = this.options;
    return loadView.getFreshLoad({ now: clock.getNow(), wallMs: clock.getWallTime(), epoch: getEpoch() });
  }

  private chooseDecision(
    load: KnownLoad | undefined,
    job: SubmittedJob,
    deadline: number,
  ): AdmissionDecision {
    const { clock } = this.options;
    return chooseAdmission(load, {
      id: job.id,
      queue: job.queue,
      customer: job.customer?.name,
      steps: job.steps,
      dueInMs: Math.max(0, job.firstRunMs - clock.getWallTime()),
      callerWaitMs: deadline - clock.getNow(),
    });
  }

  private createLoadFields(
    load: KnownLoad | undefined,
    decision: AdmissionDecision,
  ): Readonly<Record<string, unknown>> {
    return load === undefined
      ? {}
      : {
          loadEpoch: load.digest.epoch,
          loadSequence: load.digest.sequence,
          loadAgeMs: Math.round(load.ageMs),
          ...('expectedWaitMs' in decision ? { expectedWaitMs: decision.expectedWaitMs } : {}),
        };
  }
}
