import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { EndedTaskStatus } from './EndedTaskStatus';
import type { RunningTaskStatus } from './RunningTaskStatus';

/**
 * Result of a status poll.
 * - `held`: the polled incarnation responded with its status.
 * - `otherLife`: another incarnation of the endpoint responded; its status is ignored.
 * - `fenced`: the endpoint has seen the token of a newer leader.
 * - `gone`: the address belongs to another endpoint.
 * - `disconnected`: nothing was sent, since the connection of the last response is closed.
 * - `unanswered`: no valid response came within the time limit.
 */
export type PollResult =
  | {
      readonly kind: 'held';
      readonly running: readonly RunningTaskStatus[];
      readonly ended: readonly EndedTaskStatus[];
    }
  | { readonly kind: 'otherLife'; readonly incarnation: EndpointIncarnation }
  | { readonly kind: 'fenced' | 'gone' | 'disconnected' }
  | { readonly kind: 'unanswered'; readonly detail: string };
