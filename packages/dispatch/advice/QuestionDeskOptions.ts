import type { Clock } from '../../common/Clock';
import type { EndpointLife } from '../../jobs/EndpointLife';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceAsker } from './AdviceAsker';

/** What a desk is made of. */
export interface QuestionDeskOptions {
  readonly clock: Clock;
  /** The boxes that can ask, this one first. Read anew for each question. */
  readonly readAskers: () => readonly AdviceAsker[];
  /** Tickets hold for one life of an endpoint; undefined when the service gave no answer. */
  readonly handleAnswer: (
    question: Extract<DispatchEffect, { kind: 'advise' }>,
    answer: ReadonlyMap<EndpointLife, string> | undefined,
    tookMs: number,
  ) => void;
}
