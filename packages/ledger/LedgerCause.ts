/**
 * Cause that a part of a job's time is attributed to.
 * - `accept`: from the request until the job was durable.
 * - `handOver`: until the leader had added the job.
 * - `round`, `turn`, `answer`, `room`, `limit`, `bound`, `pause`: a task was ready and not yet placed; see `WaitCause`.
 * - `record`: until the placement was durable.
 * - `start`: until the endpoint had responded to the start command.
 * - `running`: a run that succeeded.
 * - `failed`: a run that failed.
 * - `stopped`: a run that the leader stopped, until its end was known.
 * - `lost`: a run that ended in any other way.
 * - `retry`: from the end of an unsuccessful run until the first known wait of the task's next run.
 * - `noted`: from the end of the last run until the end of the job was recorded.
 * - `leader`: a change of leader, with any wait that the previous leader had not logged.
 * - `unknown`: no line covers the time; lines may have been sampled out.
 */
export type LedgerCause =
  | 'accept'
  | 'handOver'
  | 'round'
  | 'turn'
  | 'answer'
  | 'room'
  | 'limit'
  | 'bound'
  | 'pause'
  | 'record'
  | 'start'
  | 'running'
  | 'failed'
  | 'stopped'
  | 'lost'
  | 'retry'
  | 'noted'
  | 'leader'
  | 'unknown';
