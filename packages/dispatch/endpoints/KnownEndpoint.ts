import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndpointFence } from './EndpointFence';
import type { EndpointProfile } from './EndpointProfile';

/**
 * What a leader knows of the lives of one endpoint. A record may be late, or early; only an answer proves which life is there. An endpoint is
 * used while both name the same.
 */
export interface KnownEndpoint {
  readonly fence: EndpointFence;
  /** The newest record; undefined when there is none. */
  record: EndpointProfile | undefined;
  /** The life that has answered last; undefined before the first answer. */
  current: EndpointIncarnation | undefined;
  /** Monotonic time from which looks shut out what was sent to earlier lives. */
  fencedFrom: number;
}
