import type { CustomerName } from '../../customers/CustomerName';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { TaskName } from '../../jobs/TaskName';
import type { StopCause } from '../stops/StopCause';
import type { WaitTimes } from '../waiting/WaitTimes';

/**
 * Where a run stands.
 * - `recording`: chosen, not yet durable, no order sent.
 * - `ordered`: the order is on its way.
 * - `unconfirmed`: placed by an earlier leader; the endpoint has not been heard since.
 * - `running`: the endpoint has confirmed it.
 * - `stopping`: to be stopped, or its order had no answer and it must be proved not to run.
 */
type RunStage = 'recording' | 'ordered' | 'unconfirmed' | 'running' | 'stopping';

/** One run that takes room on an endpoint. Owned and changed by its `EndpointBook` and the `Dispatcher`. */
export interface PlacedRun {
  readonly task: TaskName;
  readonly job: JobId;
  readonly address: TaskAddress;
  readonly run: number;
  /** Room it takes; fillers take no processor time. */
  readonly demand: TaskDemand;
  /** Whose run it is; undefined for jobs of no customer. */
  readonly customer: CustomerName | undefined;
  /** What counts against the customer's limit: with fillers also the processor time that they ask for. */
  readonly charge: TaskDemand;
  readonly isFiller: boolean;
  /** A long-running task that serves users of its own. */
  readonly isServing: boolean;
  readonly priority: number;
  /** An endpoint has ended under its task, which may be what ended it. */
  readonly isCrashSuspect: boolean;
  /** False when it continues from a checkpoint. */
  readonly isFromStart: boolean;
  stage: RunStage;
  /** A look has listed it, so that it has certainly begun on the life in whose books it stands. */
  isListed: boolean;
  /** The life that it was sent to, where it may have reached the next one; undefined once a look there has told. */
  transferredFrom: EndpointIncarnation | undefined;
  /** What its task had waited for until the placement; undefined for one that an earlier leader placed. */
  waits: WaitTimes | undefined;
  /** Monotonic time of the placement. */
  placedAt: number;
  /** Monotonic time at which its record was durable; `placedAt` before. */
  recordedAt: number;
  /** Monotonic time at which the endpoint's answer to the start came. */
  confirmedAt: number;
  /** Monotonic time at which the time limit of its order passed without an answer; undefined otherwise. */
  unansweredAt: number | undefined;
  /** Monotonic time from which the next repetition of the stop counts; undefined before the first check. */
  stopSentAt: number | undefined;
  /** Why it is being stopped; undefined while it is not. */
  stopCause: StopCause | undefined;
  /** The stop was sent again. */
  isStopRepeated: boolean;
  /** Monotonic time at which the endpoint's answer to a stop came; undefined before. */
  stopAnsweredAt: number | undefined;
  percent: number;
  /** Monotonic time of the newest look that listed it. */
  seenAt: number;
  /** Monotonic time at which `percent` last rose. */
  progressedAt: number;
  checkpoint: string;
  /** Monotonic time at which `checkpoint` last changed; undefined while this run has kept none. */
  checkpointedAt: number | undefined;
}
