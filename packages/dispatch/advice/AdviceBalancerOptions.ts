import type { Clock } from '../../common/Clock';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';

/** Dependencies of an advice balancer. */
export interface AdviceBalancerOptions {
  readonly clock: Clock;
  /** Returns the boxes that can send requests now, the own box first. */
  readonly listChannels: () => readonly AdviceChannel[];
  /** Handles the tickets of a response; `undefined` when there was no response. */
  readonly handleResponse: (
    request: Extract<DispatchEffect, { kind: 'advise' }>,
    tickets: ReadonlyMap<EndpointIncarnation, string> | undefined,
    tookMs: number,
  ) => void;
}
