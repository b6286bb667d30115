import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndedTaskStatus } from './EndedTaskStatus';
import type { RunningTaskStatus } from './RunningTaskStatus';

/**
 * Answer to a call that renews an endpoint's lease and looks at it.
 * - `held`: the life that was asked has answered.
 * - `otherLife`: another life of the endpoint has answered; what it lists is not taken from here.
 * - `fenced`: the endpoint obeys a newer leader.
 * - `gone`: the address belongs to another endpoint.
 * - `disconnected`: the connection to the process that answered last is gone, so that nothing was sent.
 */
export type PollResult =
  | {
      readonly kind: 'held';
      readonly running: readonly RunningTaskStatus[];
      readonly ended: readonly EndedTaskStatus[];
    }
  | { readonly kind: 'otherLife'; readonly life: EndpointIncarnation }
  | { readonly kind: 'fenced' | 'gone' | 'disconnected' }
  | { readonly kind: 'unanswered'; readonly detail: string };
