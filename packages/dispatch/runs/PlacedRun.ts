import type { CustomerName } from '../../customers/CustomerName';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { JobId } from '../../jobs/JobId';
import type { TaskAddress } from '../../jobs/TaskAddress';
import type { TaskDemand } from '../../jobs/TaskDemand';
import type { TaskName } from '../../jobs/TaskName';
import type { StopCause } from '../stops/StopCause';
import type { WaitTimes } from '../waiting/WaitTimes';

/**
 * Stage of a run.
 * - `recording`: placed, but its record is not durable yet and no start command was sent.
 * - `ordered`: the start command is under way.
 * - `unconfirmed`: placed by an earlier leader, or transferred from an earlier incarnation, and not yet listed by a poll.
 * - `running`: confirmed by the endpoint.
 * - `stopping`: to be stopped, until the endpoint shows that it does not run.
 */
type RunStage = 'recording' | 'ordered' | 'unconfirmed' | 'running' | 'stopping';

/** A run that takes capacity on an endpoint. Owned by its `EndpointState`, changed by the parts of the dispatcher. */
export interface PlacedRun {
  readonly task: TaskName;
  readonly job: JobId;
  readonly address: TaskAddress;
  readonly run: number;
  /** Capacity it takes; fillers take no processor time. */
  readonly demand: TaskDemand;
  /** Owner of the job; undefined for jobs without a customer. */
  readonly customer: CustomerName | undefined;
  /** Demand that counts against the customer's limit, including the processor time that fillers request. */
  readonly charge: TaskDemand;
  readonly isFiller: boolean;
  /** A long-running task that is no filler. */
  readonly isServing: boolean;
  readonly priority: number;
  /** The task is suspected of having crashed an endpoint. */
  readonly isCrashSuspect: boolean;
  /** False when it resumes from a checkpoint. */
  readonly isFromStart: boolean;
  stage: RunStage;
  /** A poll has listed it, so it has certainly started on its current incarnation. */
  hasBeenListed: boolean;
  /** Incarnation that the start was sent to, if the next one may have received it; undefined once a poll has shown which. */
  transferredFrom: EndpointIncarnation | undefined;
  /** How long its task waited before the placement, by cause; undefined for one that an earlier leader placed. */
  waitTimes: WaitTimes | undefined;
  /** Monotonic time of the placement. */
  placedAt: number;
  /** Monotonic time at which its record became durable; `placedAt` until then. */
  recordedAt: number;
  /** Monotonic time at which the endpoint confirmed the start. */
  startConfirmedAt: number;
  /** Monotonic time at which the start command timed out; undefined if it did not. */
  startTimedOutAt: number | undefined;
  /** Monotonic time from which the delay of the next stop retry counts; undefined before the first check. */
  stopRetryTimedFrom: number | undefined;
  /** Reason for the stop; undefined while it is not being stopped. */
  stopCause: StopCause | undefined;
  /** The stop command was retried. */
  isStopRepeated: boolean;
  /** Monotonic time of the first response to a stop command; undefined until then. */
  stopRespondedAt: number | undefined;
  percent: number;
  /** Monotonic time of the newest poll that listed it; `placedAt` before the first. */
  lastListedAt: number;
  /** Monotonic time at which `percent` last increased. */
  lastProgressAt: number;
  checkpoint: string;
  /** Monotonic time at which `checkpoint` last changed; undefined if this run has written none. */
  checkpointedAt: number | undefined;
}
