/**
 * What a job's time went into.
 * - `accept`: until the job was durable.
 * - `handOver`: until the leader had it.
 * - `round`, `turn`, `answer`, `room`, `limit`, `pause`: a task could start and was not placed; see `WaitCause`.
 * - `record`: until the placement was durable.
 * - `start`: until the endpoint had answered the order to start.
 * - `running`: a run that ended in success.
 * - `failed`: a run that failed.
 * - `stopped`: a run that we stopped, until its end was known.
 * - `lost`: a run that ended in any other way.
 * - `retry`: from the end of such a run until the wait of the task's next start is known.
 * - `noted`: from the last end until the job's end was noted.
 * - `leader`: it waited under a leader that went before it had told for what, or for the next leader.
 * - `unknown`: the logs do not tell; lines may have been left out.
 */
export type LedgerCause =
  | 'accept'
  | 'handOver'
  | 'round'
  | 'turn'
  | 'answer'
  | 'room'
  | 'limit'
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
