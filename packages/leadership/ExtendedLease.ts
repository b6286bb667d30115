import type { EndpointId } from '../jobs/EndpointId';

/**
 * Lease of an endpoint that may be longer than those which leaders grant: a call to an earlier incarnation of it may have granted it to the next one, by
 * the earlier clock.
 */
export interface ExtendedLease {
  readonly endpoint: EndpointId;
  /** Time until the lease has expired, in milliseconds. */
  readonly remainingMs: number;
}
