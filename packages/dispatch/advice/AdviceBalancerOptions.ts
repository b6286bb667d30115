import type { Clock } from '../../common/Clock';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';

/** Dependencies of an advice balancer. */
export interface AdviceBalancerOptions {
  readonly clock: Clock;
  /** Returns a channel for each box that can send requests, busy or not, the leader's own box first. */
  readonly listChannels: () => readonly AdviceChannel[];
  /**
   * Handles the tickets of a response; undefined when there was no response. `tookMs` is the time since `sendRequest` was called, in
   * milliseconds.
   */
  readonly handleResponse: (
    request: Extract<DispatchEffect, { kind: 'advise' }>,
    tickets: ReadonlyMap<EndpointIncarnation, string> | undefined,
    tookMs: number,
  ) => void;
}
