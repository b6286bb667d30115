/**
 * How the leader learned that a run has ended.
 * - `listed`: the endpoint reported the end.
 * - `notListed`: a poll listed neither the run nor its end.
 * - `lifeOver`: the endpoint's incarnation has ended.
 * - `leaseOver`: the endpoint was unreachable until its lease expired.
 * - `turnedDown`: the endpoint rejected the start command.
 * - `unhealthy`: the endpoint rejected the start command because it is unhealthy.
 * - `notDelivered`: no connection was made for the start command.
 * - `notSent`: the start command was not sent.
 */
export type RunEndEvidence =
  'listed' | 'notListed' | 'lifeOver' | 'leaseOver' | 'turnedDown' | 'unhealthy' | 'notDelivered' | 'notSent';
