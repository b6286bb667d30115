import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointFence } from './EndpointFence';
import type { EndpointProfile } from './EndpointProfile';

/**
 * Incarnations of one endpoint as a leader knows them. The record may name an earlier or a later incarnation than the one that runs, which only a
 * response shows. Tasks are placed on the endpoint while both agree.
 */
export interface KnownEndpoint {
  readonly fence: EndpointFence;
  /** Contents of the newest record in the log; undefined while there is none. */
  newestProfile: EndpointProfile | undefined;
  /** Incarnation that responded last; undefined before the first response, and after its address was found to belong to another endpoint. */
  currentIncarnation: EndpointIncarnation | undefined;
  /** Monotonic time from which polls carry the current incarnation's token, so that it rejects commands to earlier ones; statuses of earlier polls are ignored. */
  fencedFrom: number;
}
