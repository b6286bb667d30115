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

type Newcomer = Pick<JobDefinition, 'id' | 'queue' | 'customer' | 'steps' | 'firstRunMs'>;

/** `load` goes beside the line of the job that is taken. */
type DoorCheck =
  | { readonly kind: 'taken'; readonly load: Readonly<Record<string, unknown>> }
  | { readonly kind: 'known' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Ids whose first send may have been taken are kept until so many more have come; callers try again within seconds. */
const MAX_DOUBTS = 2000;

const OUTCOME_COUNTS = {
  unknown: 'doorUnknown',
  room: 'doorRoom',
  bearable: 'doorBearable',
  hopeless: 'doorHopeless',
} as const satisfies Readonly<Record<AdmissionDecision['kind'], string>>;

/** Takes jobs in, or refuses them by what this box knows of the load. What may have been taken before is never refused. */
export class LoadDoor {
  private readonly doubts = new Set<JobId>();

  constructor(private readonly options: LoadDoorOptions) {}

  /** The log gave no answer about a job: it may run, so that nobody may be told that it does not. */
  recordDoubt(id: JobId): void {
    this.doubts.add(id);
    if (this.doubts.size > MAX_DOUBTS) {
      const [oldest] = this.doubts;
      this.doubts.delete(oldest!);
    }
  }

  async startCheck(newcomer: Newcomer, deadline: number): Promise<DoorCheck> {
    const { door, metrics } = this.options;
    if (!admissionModes[door].isLoadPublished) {
      return { kind: 'taken', load: {} };
    }
    const load = this.readLoad();
    const answer = this.chooseAnswer(load, newcomer, deadline);
    metrics.recordCount(OUTCOME_COUNTS[answer.kind]);
    if (answer.kind !== 'hopeless' || !admissionModes[door].canRefuse) {
      return { kind: 'taken', load: this.formatLoad(load, answer) };
    }
    if (this.doubts.has(newcomer.id) || !(await this.options.startJobsRefresh(deadline))) {
      metrics.recordCount('doorDoubtful');
      return { kind: 'taken', load: this.formatLoad(load, answer) };
    }
    if (this.options.isKnown(newcomer.id)) {
      return { kind: 'known' };
    }
    this.options.logger.info('Job not taken: it could not be of use in time.', {
      job: newcomer.id,
      queue: newcomer.queue.name,
      ...(newcomer.customer === undefined ? {} : { customer: newcomer.customer.name }),
      ...this.formatLoad(load, answer),
      retryAfterMs: answer.retryAfterMs,
    });
    return { kind: 'refused', retryAfterMs: answer.retryAfterMs };
  }

  private readLoad(): KnownLoad | undefined {
    const { clock, readEpoch, view } = this.options;
    return view.getLoad({ now: clock.getNow(), wallMs: clock.getWallTime(), epoch: readEpoch() });
  }

  private chooseAnswer(load: KnownLoad | undefined, newcomer: Newcomer, deadline: number): AdmissionDecision {
    const { clock } = this.options;
    return chooseAdmission(load, {
      id: newcomer.id,
      queue: newcomer.queue,
      customer: newcomer.customer?.name,
      steps: newcomer.steps,
      dueInMs: Math.max(0, newcomer.firstRunMs - clock.getWallTime()),
      leftMs: deadline - clock.getNow(),
    });
  }

  private formatLoad(
    load: KnownLoad | undefined,
    answer: AdmissionDecision,
  ): Readonly<Record<string, unknown>> {
    return load === undefined
      ? {}
      : {
          loadEpoch: load.digest.epoch,
          loadSequence: load.digest.sequence,
          loadAgeMs: Math.round(load.ageMs),
          ...('expectedWaitMs' in answer ? { expectedWaitMs: answer.expectedWaitMs } : {}),
        };
  }
}
