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
 * - `running`: confirmed by the endpoint, by its response to the start command or by a poll.
 * - `stopping`: a stop command was sent, and no poll sent after its response has shown yet that the run has ended.
 */
type RunStage = 'recording' | 'ordered' | 'unconfirmed' | 'running' | 'stopping';

/**
 * State of a run, from its placement until its end is certain, that takes capacity on the endpoint whose `EndpointState` holds it.
 */
export interface PlacedRun {
  readonly task: TaskName;
  readonly job: JobId;
  readonly address: TaskAddress;
  /** Number of the run among the runs of its task. */
  readonly run: number;
  /** Capacity that the run takes on its endpoint; fillers take no processor time. */
  readonly demand: TaskDemand;
  /** Owner of the job; undefined for jobs without a customer. */
  readonly customer: CustomerName | undefined;
  /** Demand that counts against the customer's limit, including the processor time that fillers request. */
  readonly charge: TaskDemand;
  readonly isFiller: boolean;
  /** True for a run of a long-running task that is not a filler. */
  readonly isServing: boolean;
  /** Priority of the queue of its job, which a later version of the configuration may change. */
  priority: number;
  /** True if the task was suspected of having crashed an endpoint when the run was placed, or recovered by this leader. */
  readonly isCrashSuspect: boolean;
  /** True if this leader placed the run without a checkpoint to resume from; false for recovered and orphan runs. */
  readonly isFromStart: boolean;
  stage: RunStage;
  /** True once a poll of the endpoint's current incarnation has listed the run as running, so that it has certainly started there. */
  hasBeenListed: boolean;
  /**
   * Incarnation that the start was sent to, if the run was transferred to the next one; undefined if it was not, and once a poll of the
   * next one has listed it.
   */
  transferredFrom: EndpointIncarnation | undefined;
  /** How long the run's task waited before the placement, by cause; undefined for recovered and orphan runs. */
  waitTimes: WaitTimes | undefined;
  /** Monotonic time of the placement, or at which a recovered or orphan run was added. */
  placedAt: number;
  /** Monotonic time at which the record of the placement became durable; `placedAt` until then. */
  recordedAt: number;
  /** Monotonic time at which a response or the first poll that listed the run confirmed the start; `recordedAt` until then. */
  startConfirmedAt: number;
  /** Monotonic time at which the start command timed out; undefined if it did not, and once a poll has listed the run. */
  startTimedOutAt: number | undefined;
  /**
   * Monotonic time from which the delay of the next stop retry counts: that of the first check after the stop was sent, then of each
   * retry. Undefined before that check.
   */
  stopRetryTimedFrom: number | undefined;
  /** Reason for the stop; undefined while the run is not being stopped. */
  stopCause: StopCause | undefined;
  /** True once the stop command has been sent again. */
  isStopRepeated: boolean;
  /** Monotonic time of the first response to a stop command; undefined until then. */
  stopRespondedAt: number | undefined;
  /** Highest progress of the run that a poll has listed, in percent. */
  percent: number;
  /** Monotonic time of the newest poll that listed the run; `placedAt` before the first. */
  lastListedAt: number;
  /** Monotonic time at which `percent` last increased; `placedAt` before. */
  lastProgressAt: number;
  /** Newest checkpoint that a poll has listed for this run, or that a recovered run has in the record; empty for none. */
  checkpoint: string;
  /** Monotonic time of the poll that showed a new `checkpoint` of this run; undefined if none did. */
  checkpointedAt: number | undefined;
}
