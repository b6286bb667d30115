import type { EndpointIncarnation } from '../jobs/EndpointIncarnation';

/**
 * Lease of an incarnation that may be longer than those which leaders grant: a call to an earlier incarnation of the endpoint may have granted it, by
 * the clock of that one.
 */
export interface ExtendedLease {
  readonly incarnation: EndpointIncarnation;
  /** Time until the lease has expired, in milliseconds. */
  readonly remainingMs: number;
}
