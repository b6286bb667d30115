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

interface LoadDoorOptions {
  readonly door: AdmissionMode;
  readonly view: LoadView;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: ServeMetrics;
  /** Epoch of the newest leader known. */
  readonly readEpoch: () => number | undefined;
  /** Reads the jobs' topic on until a deadline; true once everything written before the call is known here. */
  readonly startJobsRefresh: (deadline: number) => Promise<boolean>;
  readonly isKnown: (id: JobId) => boolean;
}

type SubmittedJob = Pick<JobDefinition, 'id' | 'queue' | 'customer' | 'steps' | 'firstRunMs'>;

/** `load` goes beside the line of the job that is taken. */
type AdmissionCheck =
  | { readonly kind: 'taken'; readonly load: Readonly<Record<string, unknown>> }
  | { readonly kind: 'known' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Ids whose first send may have been taken are kept until so many more have come; callers try again within seconds. */
const MAX_UNCERTAIN_JOBS = 2000;

const DECISION_COUNTERS = {
  unknown: 'doorUnknown',
  room: 'doorRoom',
  bearable: 'doorBearable',
  hopeless: 'doorHopeless',
} as const satisfies Readonly<Record<AdmissionDecision['kind'], string>>;

/** Takes jobs in, or refuses them by what this box knows of the load. What may have been taken before is never refused. */
export class LoadDoor {
  private readonly uncertainJobs = new Set<JobId>();

  constructor(private readonly options: LoadDoorOptions) {}

  /** The log gave no answer about a job: it may run, so that nobody may be told that it does not. */
  recordDoubt(id: JobId): void {
    this.uncertainJobs.add(id);
    if (this.uncertainJobs.size > MAX_UNCERTAIN_JOBS) {
      const [oldest] = this.uncertainJobs;
      this.uncertainJobs.delete(oldest!);
    }
  }

  async startCheck(job: SubmittedJob, deadline: number): Promise<AdmissionCheck> {
    const { door, metrics } = this.options;
    if (!admissionModes[door].isLoadPublished) {
      return { kind: 'taken', load: {} };
    }
    const load = this.getLoad();
    const decision = this.chooseDecision(load, job, deadline);
    metrics.recordCount(DECISION_COUNTERS[decision.kind]);
    if (decision.kind !== 'hopeless' || !admissionModes[door].canRefuse) {
      return { kind: 'taken', load: this.formatLoad(load, decision) };
    }
    if (this.uncertainJobs.has(job.id) || !(await this.options.startJobsRefresh(deadline))) {
      metrics.recordCount('doorDoubtful');
      return { kind: 'taken', load: this.formatLoad(load, decision) };
    }
    if (this.options.isKnown(job.id)) {
      return { kind: 'known' };
    }
    this.options.logger.info('Job not taken: it could not be of use in time.', {
      job: job.id,
      queue: job.queue.name,
      ...(job.customer === undefined ? {} : { customer: job.customer.name }),
      ...this.formatLoad(load, decision),
      retryAfterMs: decision.retryAfterMs,
    });
    return { kind: 'refused', retryAfterMs: decision.retryAfterMs };
  }

  private getLoad(): KnownLoad | undefined {
    const { clock, readEpoch, view } = this.options;
    return view.getLoad({ now: clock.readNow(), wallMs: clock.readWall(), epoch: readEpoch() });
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
      dueInMs: Math.max(0, job.firstRunMs - clock.readWall()),
      leftMs: deadline - clock.readNow(),
    });
  }

  private formatLoad(
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
