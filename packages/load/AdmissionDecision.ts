/**
 * Decision on admitting a job.
 * - `unknown`: admitted, since the load is unknown.
 * - `room`: admitted, since its first tasks fit into the free capacity.
 * - `bearable`: admitted, since it is expected to end while useful.
 * - `hopeless`: refused, since it is expected to end too late to be useful.
 */
export type AdmissionDecision =
  | { readonly kind: 'unknown' | 'room' }
  | { readonly kind: 'bearable'; readonly expectedWaitMs: number }
  | { readonly kind: 'hopeless'; readonly expectedWaitMs: number; readonly retryAfterMs: number };
