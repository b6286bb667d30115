/**
 * What told the leader that a run has ended.
 * - `listed`: the endpoint gave the end itself.
 * - `notListed`: the endpoint was asked, and neither runs it nor gives an end of it.
 * - `lifeOver`: the endpoint's life is over, and all that ran there with it.
 * - `leaseOver`: the endpoint has been silent until after the last lease that was given there.
 * - `turnedDown`: the endpoint did not take the order.
 * - `unhealthy`: the endpoint said that it is not well, and did not take the order.
 * - `notDelivered`: no connection was made for the order.
 * - `notSent`: the order never left.
 */
export type RunEndCause =
  'listed' | 'notListed' | 'lifeOver' | 'leaseOver' | 'turnedDown' | 'unhealthy' | 'notDelivered' | 'notSent';
