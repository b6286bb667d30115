import type { Clock } from '../../common/Clock';
import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';

/** What a desk is made of. */
export interface AdviceBalancerOptions {
  readonly clock: Clock;
  /** The boxes that can ask, this one first. Read anew for each question. */
  readonly listChannels: () => readonly AdviceChannel[];
  /** Tickets hold for one life of an endpoint; undefined when the service gave no answer. */
  readonly handleResponse: (
    question: Extract<DispatchEffect, { kind: 'advise' }>,
    answer: ReadonlyMap<EndpointIncarnation, string> | undefined,
    tookMs: number,
  ) => void;
}
