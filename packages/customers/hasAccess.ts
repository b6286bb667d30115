import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobCaller } from './JobCaller';

/**
 * True when a caller may know of a job and cancel it: its own customer, and anybody through the open queue on which it was handed
 * in. Jobs of no customer are known to all.
 */
export const hasAccess = (caller: JobCaller, { customer, queue }: JobDefinition): boolean =>
  customer === undefined ||
  customer.name === caller.customer ||
  (caller.isOpen && caller.queue === queue.name);
