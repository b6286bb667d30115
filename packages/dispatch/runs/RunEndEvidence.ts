/**
 * How the leader learned that a run has ended.
 * - `listed`: a poll listed the run as ended.
 * - `notListed`: a poll listed neither the run nor its end.
 * - `lifeOver`: the endpoint's incarnation has ended.
 * - `leaseOver`: the endpoint's lease expired while it was unreachable or not yet synced.
 * - `turnedDown`: the endpoint rejected the start command.
 * - `unhealthy`: the endpoint rejected the start command because it is unhealthy.
 * - `notDelivered`: the start command was not delivered, since no connection to the endpoint could be made.
 * - `notSent`: the leader did not send the start command.
 */
export type RunEndEvidence =
  'listed' | 'notListed' | 'lifeOver' | 'leaseOver' | 'turnedDown' | 'unhealthy' | 'notDelivered' | 'notSent';
